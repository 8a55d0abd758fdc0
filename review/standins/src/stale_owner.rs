//! Results that another owner listed while the owner of a job was frozen are read again, beside
//! online requests that leave no slot to batch work.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread, time,
};

use jayhollow_testkit::{self as testkit, Caller, System};

use crate::{
    ended_results::{owner, read_all, read_until, start, JOB},
    record::Record,
    Verdict,
};

/// Items of the job: more than the 14 slots that batch work gets.
const ITEMS: usize = 20;
/// Callers of streams, for 16 slots.
const CALLERS: usize = 48;
/// How long a store machine freezes: `for_s` of `node_freeze` on the sheet's site file.
const FREEZE_TIME: time::Duration = time::Duration::from_millis(3200);
/// `ContactMs` of the sheet, and some reserve.
const CONTACT_TIME: time::Duration = time::Duration::from_millis(3300);

/// Callers that ask for streams while they are to.
struct Load {
    is_on: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    refused: Arc<AtomicUsize>,
}

impl Load {
    fn start(system: &System) -> Self {
        let load = Self {
            is_on: Arc::default(),
            served: Arc::default(),
            refused: Arc::default(),
        };
        for number in 0..CALLERS {
            let front = system.front(number % 2);
            let (is_on, served, refused) = (
                load.is_on.clone(),
                load.served.clone(),
                load.refused.clone(),
            );
            thread::spawn(move || {
                for round in 0.. {
                    while !is_on.load(Ordering::Relaxed) {
                        thread::sleep(time::Duration::from_millis(10));
                    }
                    let id = format!("s-{number}-{round}");
                    let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
                    let Ok(mut caller) = Caller::try_connect(front, time::Duration::from_secs(5))
                    else {
                        continue;
                    };
                    if caller
                        .try_send("POST", "/resumable/x", &headers, "q")
                        .is_err()
                    {
                        continue;
                    }
                    match caller.read_response() {
                        Ok(response) if response.status == 200 => {
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        _ => {
                            refused.fetch_add(1, Ordering::Relaxed);
                            // The `Retry-After` that the answer names.
                            thread::sleep(time::Duration::from_millis(300));
                        }
                    }
                }
            });
        }
        load
    }

    fn set(&self, is_on: bool, record: &Record) {
        self.is_on.store(is_on, Ordering::Relaxed);
        record.line(&format!(
            "{CALLERS} callers of streams: on={is_on} served={} refused={}",
            self.served.load(Ordering::Relaxed),
            self.refused.load(Ordering::Relaxed)
        ));
    }
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let system = start(record);
    let load = Load::start(&system);
    let ids: Vec<_> = (0..ITEMS).map(|n| format!("item{n:03}")).collect();
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let headers = [("Request-Id", JOB)];
    let body = testkit::job(&ids);
    let sent = Caller::call(system.front(0), "POST", "/jobs/x", &headers, &body);
    record.line(&format!(
        "POST /jobs/x Request-Id={JOB} items={ITEMS} -> {}",
        sent.status
    ));
    assert_eq!(sent.status, 202);
    let owner = owner(&system);
    // The first items have ended, and the next ones have just begun.
    thread::sleep(time::Duration::from_millis(2700));
    load.set(true, record);
    let before = read_until(&system, 5, record).len();
    thread::sleep(time::Duration::from_secs(2));
    let before = read_until(&system, before, record).len();
    assert!(before < ITEMS, "some items wait");

    let frozen_at = time::Instant::now();
    if has_trouble {
        system.dispatchers[owner].signal(libc::SIGSTOP);
        record.line(&format!("dispatcher-{owner} freezes (SIGSTOP)"));
    }
    load.set(false, record);
    let mut seen = 0;
    while seen < ITEMS && frozen_at.elapsed() < FREEZE_TIME {
        thread::sleep(time::Duration::from_millis(50));
        seen = seen.max(read_all(&system, 1, record).unwrap_or_default().len());
    }
    load.set(true, record);
    record.line(&format!("results read so far: {seen}"));
    assert!(seen > before, "results came while the owner was frozen");
    thread::sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed()));
    if has_trouble {
        system.dispatchers[owner].signal(libc::SIGCONT);
        record.line(&format!("dispatcher-{owner} wakes (SIGCONT)"));
    }
    thread::sleep(CONTACT_TIME);

    let mut is_broken = false;
    for _ in 0..20 {
        for gateway in 0..2 {
            let listed = read_all(&system, gateway, record);
            if let Some(listed) = listed.filter(|listed| listed.len() < seen) {
                record.line(&format!(
                    "LOST: gateway-{gateway} has nothing at position {}, {seen} had been read",
                    listed.len()
                ));
                is_broken = true;
            }
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    load.set(false, record);
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
