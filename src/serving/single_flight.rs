//! Limits an operation to one execution at a time; concurrent callers need not repeat
//! it.

use std::{cell, rc};

/// Flag that tells whether the operation is in progress.
#[derive(Debug, Clone, Default)]
pub struct SingleFlight {
    is_busy: rc::Rc<cell::Cell<bool>>,
}

impl SingleFlight {
    /// Begins the operation, or returns `None` if it is already in progress.
    pub fn begin(&self) -> Option<FlightGuard> {
        if self.is_busy.replace(true) {
            return None;
        }
        let is_busy = self.is_busy.clone();
        Some(FlightGuard { is_busy })
    }
}

/// Marks the operation as finished when dropped.
#[derive(Debug)]
pub struct FlightGuard {
    is_busy: rc::Rc<cell::Cell<bool>>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.is_busy.set(false);
    }
}
