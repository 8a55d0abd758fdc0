//! Properties of parsers and small data structures over generated input, with a fixed seed.

use std::collections::BTreeSet;

use jayhollow::{
    batch_item, bundle,
    decisions::{index_ranges, routing},
    ids, settings,
};
use proptest::{collection, prelude::any, prop_assert, prop_assert_eq, test_runner};

/// Seed of all properties, so that CI results are reproducible.
const SEED: u64 = 20_261_202;

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn index_ranges_behave_like_a_set(indices in collection::vec(0_u32..200, 0..100)) {
        let mut ranges = index_ranges::IndexRanges::default();
        let mut set = BTreeSet::new();
        for index in indices {
            prop_assert_eq!(ranges.insert(index), set.insert(index));
        }
        prop_assert_eq!(ranges.len() as usize, set.len());
        prop_assert!(ranges.iter().eq(set.iter().copied()));
        prop_assert!((0..201).all(|i| ranges.contains(i) == set.contains(&i)));
        let text = serde_json::to_string(&ranges).expect("the ranges serialize");
        let read: index_ranges::IndexRanges =
            serde_json::from_str(&text).expect("the ranges deserialize");
        prop_assert_eq!(read, ranges);
    }

    #[test]
    fn item_parser_accepts_any_bytes_without_panic(line in collection::vec(any::<u8>(), 0..300)) {
        let _ = batch_item::BatchItem::parse(&line);
    }

    #[test]
    fn parsed_item_has_a_service(
        url in "/(v1|services)/[a-z/]{0,20}",
        model in "[a-zA-Z0-9 ._-]{0,10}",
    ) {
        let line = serde_json::json!({"custom_id": "a", "url": url, "body": {"model": model}});
        if let Ok(item) = batch_item::BatchItem::parse(line.to_string().as_bytes()) {
            prop_assert!(item.service().is_ok());
            prop_assert!(item.endpoint_path().starts_with('/'));
        }
    }

    #[test]
    fn settings_and_bundle_parsers_accept_any_text_without_panic(text in ".{0,300}") {
        let _ = settings::parse::<settings::gateway::GatewaySettings>("f", &text);
        let _ = serde_json::from_str::<bundle::BundleDocument>(&text);
    }

    #[test]
    fn identifiers_round_trip_through_text(text in ".{0,140}") {
        if let Ok(id) = text.parse::<ids::JobId>() {
            prop_assert_eq!(id.to_string(), text);
        }
    }

    #[test]
    fn ranking_is_a_permutation(
        loads in collection::vec(0_u32..20, 1..40),
        key in any::<u64>(),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng as _;
        let names: Vec<ids::EndpointId> = (0..loads.len())
            .map(|n| format!("e{n}").parse().expect("the name is valid"))
            .collect();
        let candidates: Vec<routing::RouteCandidate<'_>> = names
            .iter()
            .zip(&loads)
            .map(|(id, load)| routing::RouteCandidate { id, is_same_domain: load % 2 == 0, load: *load })
            .collect();
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        for policy in [
            routing::RoutePolicy::Affinity,
            routing::RoutePolicy::LeastOutstanding,
            routing::RoutePolicy::TwoChoices,
            routing::RoutePolicy::Random,
        ] {
            let mut order = routing::rank(policy, key, &candidates, &mut rng);
            order.sort_unstable();
            prop_assert!(order.into_iter().eq(0..loads.len()));
        }
    }
}
