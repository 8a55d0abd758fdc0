//! Tests that the parts of a job's results fit into objects of the store, and that readers
//! assemble from them what was written.

use jayhollow::{
    serving::{
        result_parts::{self, PartLimit, PartialResult, ResultFragment},
        wire::{ItemResult, ItemState},
    },
    store::{self, ValueSize},
};

fn result(id: &str, output: &str) -> ItemResult {
    ItemResult {
        id: id.into(),
        state: ItemState::Completed,
        output: output.into(),
    }
}

/// Reader of the parts in the store, as each process is one.
#[derive(Default)]
struct PartReader {
    listed: Vec<ItemResult>,
    partial: Option<PartialResult>,
}

impl PartReader {
    /// Appends the next part of a writer, as if it were in the store.
    fn append(&mut self, limit: PartLimit, pending: &mut Vec<ItemResult>, bound: ValueSize) {
        let part = limit.next_part(self.listed.len(), pending, self.partial.as_ref());
        assert!(store::encoded_size(&part) <= bound, "a part above {bound}");
        assert_eq!(
            part.results.is_empty(),
            part.fragment.is_some(),
            "a part has results or a fragment"
        );
        let assembled = part
            .fragment
            .and_then(|f| result_parts::assemble(&mut self.partial, f));
        for result in part.results.into_iter().chain(assembled) {
            pending.retain(|p| p.id != result.id);
            self.listed.push(result);
        }
    }
}

/// The store refused parts, as their size was that of the text before it was escaped.
#[rstest::rstest]
#[case::plain("x", 4 << 10)]
#[case::control_characters("\u{1b}[1m", 4 << 10)]
#[case::quotes("\"\\", 40_000)]
#[case::several_bytes("\u{20ac}\u{1f600}\n", 5_000)]
#[case::above_the_usual_part("\u{0}", 10 << 20)]
fn parts_stay_within_the_bound_of_the_store_once_encoded(#[case] text: &str, #[case] bound: usize) {
    let bound = ValueSize(bound);
    let sizes = [0, 1, 10, 500, 3_000, 20_000, 150_000, 5, 0];
    let results = sizes.iter().enumerate();
    let results: Vec<_> = results
        .map(|(n, size)| result(&format!("i-{n}"), &text.repeat(size / text.len())))
        .collect();
    let mut pending = results.clone();
    let mut reader = PartReader::default();
    while !pending.is_empty() {
        reader.append(PartLimit::new(bound), &mut pending, bound);
    }
    assert!(reader.listed == results, "the results as they were written");
}

/// A result was joined from the fragments of two processes that ran its item.
#[test]
fn a_result_is_of_one_process_though_two_write_fragments_in_turn() {
    let bound = ValueSize(4 << 10);
    let limit = PartLimit::new(bound);
    let (first, second) = ("a".repeat(9_000), "b".repeat(9_000));
    let mut pending_first = vec![result("i-1", &first)];
    let mut pending_second = vec![result("i-1", &second)];
    let mut reader = PartReader::default();
    reader.append(limit, &mut pending_first, bound);
    reader.append(limit, &mut pending_second, bound);
    reader.append(limit, &mut pending_first, bound);
    while reader.listed.is_empty() {
        reader.append(limit, &mut pending_first, bound);
    }
    assert!(reader.listed == [result("i-1", &first)], "one text");
}

/// A fragment that nothing before it continues gives no result.
#[rstest::rstest]
#[case::nothing_before(None, 4)]
#[case::a_gap(Some(("i-1", "abc")), 4)]
#[case::an_overlap(Some(("i-1", "abcde")), 4)]
#[case::another_item(Some(("i-2", "abcd")), 4)]
fn a_foreign_fragment_is_dropped(#[case] before: Option<(&str, &str)>, #[case] offset: usize) {
    let mut partial = None;
    let fragment = |offset, is_last, id: &str, text: &str| ResultFragment {
        offset,
        is_last,
        result: result(id, text),
    };
    if let Some((id, text)) = before {
        let begun = result_parts::assemble(&mut partial, fragment(0, false, id, text));
        assert_eq!(begun, None);
    }
    let last = fragment(offset, true, "i-1", "rest");
    assert_eq!(result_parts::assemble(&mut partial, last), None);
}

/// A store that refuses smaller parts than it states got the same part again without end.
#[test]
fn the_limit_is_lowered_down_to_a_minimum() {
    let mut limit = PartLimit::new(ValueSize::DEFAULT_LIMIT);
    let mut count = 0;
    while limit.lower() {
        count += 1;
    }
    assert_eq!(limit, PartLimit::new(ValueSize(0)));
    assert!((5..20).contains(&count), "{count} times");
}

/// Guards against a size that differs from that of the encoded text.
#[test]
fn a_prefix_has_the_largest_size_that_fits() {
    let text: String = (0..0x300).filter_map(char::from_u32).collect();
    let whole = store::encoded_size(&text).0 - 2;
    assert_eq!(store::prefix_within(&text, ValueSize(whole)), text);
    for limit in 1..whole {
        let prefix = store::prefix_within(&text, ValueSize(limit));
        let rest = &text[prefix.len()..];
        let next = rest.chars().next().expect("a rest").to_string();
        let size = |text: &str| store::encoded_size(text).0 - 2;
        assert!(size(prefix) <= limit || prefix.chars().count() == 1);
        assert!(size(prefix) + size(&next) > limit, "{limit}");
    }
}
