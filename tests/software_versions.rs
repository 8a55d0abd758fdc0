//! What a process knows of software versions: their history, the origins of streams, and
//! which endpoints a begun text may go on at.

use std::{collections, net, rc, time};

use jayhollow::{
    clock,
    decisions::{endpoint_doubt, origin_holders, ownership, version_history},
    ids,
    serving::{
        directory, origin_file, peers, permits, start_confirmations, stream_origins,
        unlisted_starts,
    },
};

fn version(text: &str) -> ids::SoftwareVersion {
    text.parse().expect("a version")
}

fn at_s(seconds: u64) -> clock::MonotonicTime {
    clock::MonotonicTime::default() + time::Duration::from_secs(seconds)
}

fn service() -> ids::ServiceName {
    "s".parse().expect("a name")
}

fn entry(id: &str, software: Option<&str>, started: Option<u64>) -> directory::EndpointEntry {
    directory::EndpointEntry {
        id: id.parse().expect("a name"),
        service: service(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "z".parse().expect("a name"),
        slots: 1,
        leaving: false,
        started: started.map(ids::StartTime),
        cold_ms: 0,
        software: software.map(version),
    }
}

fn listed(entries: &[directory::EndpointEntry]) -> directory::EndpointDirectory {
    let mut directory = directory::EndpointDirectory::default();
    let changes = entries.iter().cloned();
    let changes = changes.map(directory::EndpointChange::Listed).collect();
    directory.apply(changes, directory::ChangeTiming::default());
    directory
}

fn observe(history: &mut version_history::VersionHistory, versions: &[&str], second: u64) {
    let versions: Vec<_> = versions.iter().map(|text| version(text)).collect();
    history.observe(&service(), versions.iter().map(Some), at_s(second));
}

#[rstest::rstest]
#[case::one_version(&[(10, &["v1"][..]), (20, &["v1"])], Some(10))]
#[case::two_versions(&[(10, &["v1"][..]), (20, &["v1", "v2"])], None)]
#[case::one_after_two(&[(10, &["v1"][..]), (20, &["v1", "v2"]), (30, &["v1"])], Some(30))]
#[case::another_one(&[(10, &["v1"][..]), (20, &["v2"])], Some(20))]
#[case::none_in_between(&[(10, &["v1"][..]), (20, &[]), (30, &["v1"])], Some(10))]
fn a_version_is_the_only_one_since_the_last_other_one(
    #[case] seen: &[(u64, &[&str])],
    #[case] since: Option<u64>,
) {
    let mut history = version_history::VersionHistory::default();
    for (second, versions) in seen {
        observe(&mut history, versions, *second);
    }
    let sole = history.sole(&service());
    assert_eq!(sole.map(|sole| sole.since), since.map(at_s));
}

#[test]
fn only_the_first_start_of_a_system_knows_all_earlier_versions() {
    let mut history = version_history::VersionHistory::default();
    history.set_complete();
    observe(&mut history, &["v1"], 10);
    let since =
        |history: &version_history::VersionHistory| history.sole(&service()).map(|sole| sole.since);
    assert_eq!(since(&history), Some(at_s(0)));
    observe(&mut history, &["v1", "v2"], 20);
    observe(&mut history, &["v1"], 30);
    assert_eq!(since(&history), Some(at_s(30)));
}

#[rstest::rstest]
#[case::same_version("v1", 5)]
#[case::other_version("v2", 10)]
fn an_earlier_time_counts_for_the_same_version_only(#[case] known: &str, #[case] since: u64) {
    let sole = version_history::SoleVersion {
        version: version(known),
        since: at_s(5),
    };
    let mut told = version_history::VersionHistory::default();
    observe(&mut told, &["v1"], 10);
    told.inherit(&service(), &sole);
    let mut restored = version_history::VersionHistory::default();
    restored.restore(&service(), sole);
    observe(&mut restored, &["v1"], 10);
    for history in [told, restored] {
        assert_eq!(history.sole(&service()).map(|s| s.since), Some(at_s(since)));
    }
}

fn candidates(names: &[(&str, &str)]) -> Vec<ownership::OwnerCandidate> {
    let candidates = names.iter().map(|(id, domain)| ownership::OwnerCandidate {
        id: id.parse().expect("a name"),
        domain: domain.parse().expect("a name"),
    });
    candidates.collect()
}

fn key(name: &str) -> ids::StreamKey {
    ids::StreamKey::of(None, &name.parse().expect("a name"))
}

#[test]
fn two_holders_in_two_domains_keep_an_origin_and_one_stays_when_the_other_is_lost() {
    let all = candidates(&[("a", "x"), ("b", "x"), ("c", "y"), ("d", "y"), ("e", "z")]);
    for number in 0..100 {
        let key = key(&format!("s-{number}"));
        let chosen: Vec<_> = origin_holders::choose(key, &all).collect();
        let [first, second] = chosen[..] else {
            panic!("{} holders", chosen.len());
        };
        assert_ne!(first.domain, second.domain);
        for lost in [first, second] {
            let rest: Vec<_> = all.iter().filter(|c| c.id != lost.id).cloned().collect();
            let mut next = origin_holders::choose(key, &rest);
            assert!(next.any(|c| c.id == first.id || c.id == second.id));
        }
    }
    let alone = candidates(&[("a", "x")]);
    assert_eq!(origin_holders::choose(key("s"), &alone).count(), 1);
    assert_eq!(origin_holders::choose(key("s"), &[]).count(), 0);
}

fn origin(run: &directory::EndpointEntry, began_ms: u64) -> stream_origins::StreamOrigin {
    let origin = stream_origins::StreamOrigin::at(run).expect("its version is known");
    stream_origins::StreamOrigin { began_ms, ..origin }
}

#[rstest::rstest]
#[case::same_run(Some(("v1", 1000)), true)]
#[case::gone(None, true)]
#[case::same_version_after_a_start(Some(("v1", 9000)), true)]
#[case::other_version_long_after(Some(("v2", 9000)), true)]
#[case::other_version_before(Some(("v2", 4000)), false)]
#[case::other_version_at_about_that_time(Some(("v2", 5020)), false)]
#[case::other_version_of_the_same_start(Some(("v2", 1000)), false)]
fn an_origin_is_certain_unless_its_endpoint_may_have_had_other_software(
    #[case] now: Option<(&str, u64)>,
    #[case] is_certain: bool,
) {
    let begun = origin(&entry("i-1", Some("v1"), Some(1000)), 5000);
    let entries = now.map(|(software, started)| entry("i-1", Some(software), Some(started)));
    let directory = listed(entries.as_slice());
    assert_eq!(begun.is_certain(&directory), is_certain);
}

/// What a process sees of an endpoint that is listed with the start 1000.
#[derive(Debug, Clone, Copy)]
enum EndpointSign {
    Fails,
    Confirms,
}

#[rstest::rstest]
#[case::first_start_of_the_system(true, &[], false)]
#[case::later_start_of_the_process(false, &[], true)]
#[case::confirmed(false, &[EndpointSign::Confirms], false)]
#[case::failed(true, &[EndpointSign::Fails], true)]
#[case::failed_and_confirmed(true, &[EndpointSign::Fails, EndpointSign::Confirms], false)]
#[case::confirmed_and_failed(true, &[EndpointSign::Confirms, EndpointSign::Fails], true)]
fn a_listed_start_is_doubtful_until_its_endpoint_confirms_it(
    #[case] is_complete: bool,
    #[case] signs: &[EndpointSign],
    #[case] is_doubtful: bool,
) {
    let endpoint = entry("i-1", Some("v1"), Some(1000));
    let mut confirmations = start_confirmations::StartConfirmations::new(is_complete);
    for sign in signs {
        match sign {
            EndpointSign::Fails => {
                confirmations.record_failure(&endpoint.id, ids::StartTime(1000));
            }
            EndpointSign::Confirms => confirmations.record_confirmed(endpoint.run()),
        }
    }
    assert_eq!(confirmations.is_doubtful(&endpoint), is_doubtful);
    let listed_anew = entry("i-1", Some("v2"), Some(2000));
    assert_eq!(confirmations.is_doubtful(&listed_anew), !is_complete);
    let without_start = entry("i-1", Some("v1"), None);
    assert!(!confirmations.is_doubtful(&without_start));
    confirmations.retain(|_| false);
    assert_eq!(confirmations.is_doubtful(&endpoint), !is_complete);
}

#[test]
fn the_earliest_of_several_unlisted_starts_counts() {
    let endpoint = entry("i-1", Some("v1"), Some(1000));
    let mut starts = unlisted_starts::UnlistedStarts::new(true);
    for reported in [3000, 2000, 4000] {
        starts.record_restart(endpoint.run(), ids::StartTime(reported), at_s(1));
    }
    let reported = |listed| starts.reported_start(&endpoint.id, Some(ids::StartTime(listed)));
    assert_eq!(reported(1000), Some(ids::StartTime(2000)));
    assert_eq!(reported(4000), None);
}

fn record(name: &str, remaining: time::Duration) -> stream_origins::OriginRecord {
    stream_origins::OriginRecord {
        key: key(name),
        origin: origin(&entry("i-1", Some("v1"), None), 5000),
        remaining,
    }
}

#[test]
fn origins_are_bounded_in_time_and_number() {
    let mut table = stream_origins::OriginTable::default();
    let shared = stream_origins::OriginReach::Shared;
    table.insert(record("late", time::Duration::ZERO), shared);
    assert_eq!(table.get(key("late")), None);
    table.expire();
    assert!(table.is_empty());
    for number in 0..20_000 {
        let record = record(&format!("s-{number}"), time::Duration::from_secs(60));
        table.insert(record, shared);
    }
    assert!(table.len() < 20_000);
    assert!(table.get(key("s-0")).is_none() && table.get(key("s-19999")).is_some());
}

#[test]
fn origins_of_a_mixed_service_are_sent_until_a_holder_confirms_them() {
    let mut table = stream_origins::OriginTable::default();
    let minute = time::Duration::from_secs(60);
    table.insert(record("a", minute), stream_origins::OriginReach::Unshared);
    table.insert(record("b", minute), stream_origins::OriginReach::Shared);
    let mixed = collections::HashSet::from([service()]);
    let keys = |table: &stream_origins::OriginTable, services: &_| {
        let unshared = table.unshared(services, 8);
        unshared.iter().map(|r| r.key).collect::<Vec<_>>()
    };
    assert_eq!(keys(&table, &mixed), [key("a")]);
    assert!(keys(&table, &collections::HashSet::new()).is_empty());
    table.set_shared(key("a"));
    assert!(keys(&table, &mixed).is_empty());
}

/// A folder that is removed with its content.
struct TestFolder(std::path::PathBuf);

impl TestFolder {
    fn new() -> Self {
        let folder = std::env::temp_dir().join(ids::unique("jayhollow-origins"));
        std::fs::create_dir_all(&folder).expect("the folder is made");
        Self(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

fn stream_line(name: &str, expires_ms: u64) -> Vec<u8> {
    origin_file::encode(&origin_file::OriginLine::Stream {
        key: key(name),
        origin: record(name, time::Duration::ZERO).origin,
        expires_ms,
    })
}

fn versions_line(at_ms: u64) -> Vec<u8> {
    let sole = vec![origin_file::SoleVersionLine {
        service: service(),
        version: version("v1"),
        since_ms: 3,
    }];
    origin_file::encode(&origin_file::OriginLine::Versions { at_ms, sole })
}

#[test]
fn origins_on_disk_outlive_the_process_but_not_their_time_or_a_torn_write() {
    let folder = TestFolder::new();
    let lines = [
        stream_line("kept", 9000),
        stream_line("over", 4000),
        stream_line("torn", 9000)[..40].to_vec(),
        stream_line("after", 9000),
    ];
    origin_file::append(&folder.0, &lines.concat()).expect("it is written");
    let restored = origin_file::read(&folder.0, 5000);
    let keys: Vec<_> = restored.origins.iter().map(|r| r.key).collect();
    assert_eq!(keys, [key("kept"), key("after")]);
    assert_eq!(restored.origins[0].remaining, time::Duration::from_secs(4));
}

#[rstest::rstest]
#[case::soon(6000, 1)]
#[case::late(20_000, 0)]
fn versions_on_disk_count_after_a_short_absence_only(#[case] now_ms: u64, #[case] count: usize) {
    let folder = TestFolder::new();
    origin_file::append(&folder.0, &versions_line(5000)).expect("it is written");
    assert_eq!(origin_file::read(&folder.0, now_ms).sole.len(), count);
}

#[test]
fn the_file_of_origins_is_bounded_and_keeps_the_latest() {
    let folder = TestFolder::new();
    let line = stream_line("s", u64::MAX);
    for _ in 0..5 {
        let text = line.repeat((1 << 20) / line.len() + 1);
        origin_file::append(&folder.0, &text).expect("it is written");
    }
    let last = stream_line("last", u64::MAX);
    origin_file::append(&folder.0, &last).expect("it is written");
    let files = std::fs::read_dir(&folder.0).expect("the folder is read");
    let sizes = files.map(|file| file.expect("a file").metadata().expect("its size").len());
    assert!(sizes.sum::<u64>() < 5 << 20);
    let restored = origin_file::read(&folder.0, 5000);
    assert_eq!(restored.origins.last().map(|r| r.key), Some(key("last")));
}

fn slot_request(number: u64, software: Option<&str>) -> peers::OnlineSlotRequest {
    peers::OnlineSlotRequest {
        number,
        holder: ids::InstanceRun {
            instance: "g".parse().expect("a name"),
            run: ids::RunNumber::default(),
        },
        domain: "z".parse().expect("a name"),
        service: service(),
        tried: Vec::new(),
        software: software.map(version),
        may_queue: true,
        wait: time::Duration::from_secs(1),
        single_attempt: false,
        use_of_suspects: endpoint_doubt::SuspectUse::Probe,
        ticket: None,
    }
}

#[test]
fn a_slot_for_a_begun_stream_is_granted_at_its_version_only() {
    let owned = [
        entry("i-1", Some("v1"), None),
        entry("i-2", Some("v2"), None),
    ];
    let owned: Vec<_> = owned.into_iter().map(rc::Rc::new).collect();
    let none = collections::HashSet::new();
    let mut table = permits::PermitTable::default();
    table.set_owned(&owned);
    let slot = table.acquire(&slot_request(1, Some("v2")), &none, at_s(1));
    assert_eq!(slot.expect("a slot").endpoint.as_str(), "i-2");
    let full = slot_request(2, Some("v2"));
    let without_queue = peers::OnlineSlotRequest {
        may_queue: false,
        ..full.clone()
    };
    assert_eq!(table.acquire(&without_queue, &none, at_s(1)), None);
    assert!(!table.are_all_excluded(&full));
    let gone = slot_request(3, Some("v3"));
    assert_eq!(table.acquire(&gone, &none, at_s(1)), None);
    assert!(table.are_all_excluded(&gone));
    assert!(!table.has_only_suspect(&gone, &none, at_s(1)));
    assert_eq!(table.denial(&gone, at_s(1)).excluded, 2);
    let any = table.acquire(&slot_request(4, None), &none, at_s(1));
    assert_eq!(any.expect("a slot").endpoint.as_str(), "i-1");
}

#[test]
fn endpoints_of_a_version_are_those_that_may_get_work() {
    let mut leaving = entry("i-3", Some("v2"), None);
    leaving.leaving = true;
    let unknown = entry("i-4", None, None);
    let entries = [
        entry("i-1", Some("v1"), None),
        entry("i-2", Some("v2"), None),
        leaving,
        unknown,
    ];
    let directory = listed(&entries);
    let names = |software: Option<&str>| {
        let software = software.map(version);
        let listed = directory.of_version(&service(), software.as_ref());
        let names = listed.iter().map(|e| e.id.as_str().to_owned());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names(Some("v2")), ["i-2"]);
    assert_eq!(names(Some("v3")), [""; 0]);
    assert_eq!(names(None), ["i-1", "i-2", "i-4"]);
}
