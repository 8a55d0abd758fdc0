//! Seeded runs of the decisions: no violation as they are, one without each protection.

use clap::ValueEnum as _;
use jayhollow::bench::soak;
use rstest::rstest;

/// Steps of each world at each seed.
const STEPS: u64 = 200_000;
/// Steps within which the removal of a protection is noticed at seed 1.
const MUTATION_STEPS: u64 = 400_000;

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn decisions_hold_under_faults(#[case] seed: u64) {
    for end in soak::run_worlds(seed, STEPS, None) {
        assert_eq!(
            end.violation, None,
            "world {} at step {}",
            end.name, end.steps
        );
        assert!(
            !end.faults.is_empty(),
            "faults were brought about in {}",
            end.name
        );
        assert!(
            !end.ended.is_empty(),
            "something was driven to its end in {}",
            end.name
        );
    }
}

#[test]
fn each_removed_protection_is_noticed() {
    for protection in soak::Protection::value_variants() {
        let ends = soak::run_worlds(1, MUTATION_STEPS, Some(*protection));
        let noticed = ends.iter().any(|e| e.violation.is_some());
        assert!(noticed, "nothing was noticed without {protection:?}");
    }
}
