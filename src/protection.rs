//! Protections that a test build can disable, to verify that the tests detect it.
//!
//! Without the feature `failpoints`, [`is_disabled`] always returns `false`. With it,
//! the environment selects the disabled protections, for example
//! `FAILPOINTS=intent=return`.

/// Returns whether the protection `name` is disabled.
#[cfg(feature = "failpoints")]
pub fn is_disabled(name: &str) -> bool {
    static SETUP: std::sync::Once = std::sync::Once::new();
    SETUP.call_once(|| {
        // Leaked deliberately: dropping the scenario would end it.
        std::mem::forget(fail::FailScenario::setup());
    });
    fail::eval(name, |_| ()).is_some()
}

/// Returns `false`: this build cannot disable protections.
#[cfg(not(feature = "failpoints"))]
#[inline(always)]
pub fn is_disabled(_name: &str) -> bool {
    false
}
