//! One question at a time: who wants the same meanwhile need not ask again.

use std::{cell, rc};

/// Whether a question is under way.
#[derive(Debug, Clone, Default)]
pub struct SingleFlight {
    is_busy: rc::Rc<cell::Cell<bool>>,
}

impl SingleFlight {
    /// Begins the question; nothing while it is under way already.
    pub fn begin(&self) -> Option<FlightGuard> {
        if self.is_busy.replace(true) {
            return None;
        }
        let is_busy = self.is_busy.clone();
        Some(FlightGuard { is_busy })
    }
}

/// Ends the question when it is dropped.
#[derive(Debug)]
pub struct FlightGuard {
    is_busy: rc::Rc<cell::Cell<bool>>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.is_busy.set(false);
    }
}
