//! Protections that a test build can take out, to see that the tests notice.
//!
//! Without the feature `failpoints` this is the constant `false`. With it, the
//! environment names what is taken out, like `FAILPOINTS=intent=return`.

/// Whether the protection `name` is taken out.
#[cfg(feature = "failpoints")]
pub fn is_disabled(name: &str) -> bool {
    static SETUP: std::sync::Once = std::sync::Once::new();
    SETUP.call_once(|| {
        // Leaked on purpose: dropping the scenario would end it.
        std::mem::forget(fail::FailScenario::setup());
    });
    fail::eval(name, |_| ()).is_some()
}

/// Whether the protection `name` is taken out: never in this build.
#[cfg(not(feature = "failpoints"))]
#[inline(always)]
pub fn is_disabled(_name: &str) -> bool {
    false
}
