//! Runtime invariant checks: violations are always counted and optionally fatal.

use std::{
    collections,
    sync::{self, atomic},
};

static BROKEN: sync::Mutex<collections::BTreeMap<&'static str, u64>> =
    sync::Mutex::new(collections::BTreeMap::new());
static COUNT_ONLY: atomic::AtomicBool = atomic::AtomicBool::new(false);

/// Sets whether violations are only counted, even in builds with debug assertions.
pub fn count_only(on: bool) {
    COUNT_ONLY.store(on, atomic::Ordering::Relaxed);
}

/// Checks the invariant `name`; counts and logs a violation.
///
/// # Panics
/// Panics if the invariant does not hold, the build has debug assertions, and
/// [`count_only`] is off.
pub fn check(name: &'static str, holds: bool) {
    if holds {
        return;
    }
    let mut broken = BROKEN.lock().unwrap_or_else(|e| e.into_inner());
    *broken.entry(name).or_default() += 1;
    drop(broken);
    log::error!("event=invariant_broken name={name}");
    let fatal = cfg!(debug_assertions) && !COUNT_ONLY.load(atomic::Ordering::Relaxed);
    assert!(!fatal, "the invariant {name} is broken");
}

/// Returns the number of violations of each invariant since the process started.
pub fn broken() -> collections::BTreeMap<&'static str, u64> {
    BROKEN.lock().unwrap_or_else(|e| e.into_inner()).clone()
}
