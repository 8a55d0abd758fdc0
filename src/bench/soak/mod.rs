//! Long seeded runs of the decisions: random events, faults, invariants.
//!
//! Each world drives one group of decisions through everything that can
//! happen to it. A protection can be taken out by name, to see that the run
//! notices; the list of names is the mutation list.

pub mod admission_world;
pub mod bundle_world;
pub mod chunk_world;
pub mod relay_world;

use std::{collections, time};

use rand::{rngs, SeedableRng as _};

use super::{report, BenchResult};
use crate::invariant;

/// Flags of `jayhollow-bench soak`.
#[derive(Debug, Clone, clap::Args)]
pub struct SoakFlags {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Steps of each world; 0 goes on until the process is stopped or a violation is found.
    #[arg(long, default_value_t = 1_000_000)]
    pub steps: u64,
    /// Takes a protection out, to see that the run notices.
    #[arg(long, value_enum)]
    pub without: Option<Protection>,
    /// Runs without each protection in turn, and lists where each was noticed.
    #[arg(long)]
    pub mutations: bool,
}

/// Protections that can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Protection {
    /// A commit is written only over the revision that it was made from.
    CommitCondition,
    /// A claim is written only over the revision that was read.
    ClaimCondition,
    /// A write whose answer was lost is read back before it is tried again.
    ReadBack,
    /// Items that may not be repeated are intended before they are sent.
    Intent,
    /// An intended item without a result is not run again by the next holder.
    UnknownNotRerun,
    /// Segments are named after their claim.
    SegmentName,
    /// A relay drops events that it forwarded before.
    RelayDrop,
    /// A relay takes a stream up again when events are missing.
    RelayGap,
    /// A batch stream is taken back when an online request needs its place.
    Preemption,
    /// A permit that was not released expires.
    PermitExpiry,
    /// A step of a bundle is written only over the head that it was made from.
    BundleCondition,
    /// A daemon leaves a lower generation alone.
    GenerationOrder,
}

/// Faults by kind, and what was found.
#[derive(Debug, Default)]
pub struct WorldTally {
    /// Faults brought about, by kind.
    pub faults: collections::BTreeMap<&'static str, u64>,
    /// Things that were driven to their end, by kind.
    pub ended: collections::BTreeMap<&'static str, u64>,
    /// What must not happen, and happened.
    pub violations: Vec<String>,
}

impl WorldTally {
    /// Notes a fault.
    pub fn fault(&mut self, kind: &'static str) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Notes something that was driven to its end.
    pub fn end(&mut self, kind: &'static str) {
        *self.ended.entry(kind).or_default() += 1;
    }

    /// Notes a violation unless `holds`.
    pub fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(what());
        }
    }
}

/// A group of decisions under random events.
pub trait SoakWorld {
    /// Its name.
    fn name(&self) -> &'static str;
    /// Does one random thing.
    fn step(&mut self, rng: &mut rngs::SmallRng);
    /// What was seen so far.
    fn tally(&self) -> &WorldTally;
}

fn worlds(without: Option<Protection>) -> Vec<Box<dyn SoakWorld>> {
    vec![
        Box::new(chunk_world::ChunkWorld::new(without)),
        Box::new(relay_world::RelayWorld::new(without)),
        Box::new(admission_world::AdmissionWorld::new(without)),
        Box::new(bundle_world::BundleWorld::new(without)),
    ]
}

/// How the run of one world ended.
#[derive(Debug)]
pub struct WorldEnd {
    /// The world's name.
    pub name: &'static str,
    /// Steps that were done.
    pub steps: u64,
    /// Faults brought about, by kind.
    pub faults: collections::BTreeMap<&'static str, u64>,
    /// Things that were driven to their end, by kind.
    pub ended: collections::BTreeMap<&'static str, u64>,
    /// The first violation, if any.
    pub violation: Option<String>,
}

/// Runs all worlds; a world ends at its first violation.
pub fn run_worlds(seed: u64, steps: u64, without: Option<Protection>) -> Vec<WorldEnd> {
    invariant::count_only(true);
    let ends = worlds(without)
        .into_iter()
        .map(|world| run_world(world, seed, steps));
    ends.collect()
}

fn run_world(mut world: Box<dyn SoakWorld>, seed: u64, steps: u64) -> WorldEnd {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let broken_before = invariant::broken();
    let mut done = 0;
    let mut violation = None;
    while violation.is_none() && (steps == 0 || done < steps) {
        world.step(&mut rng);
        done += 1;
        violation = world.tally().violations.first().cloned();
        if violation.is_none() && invariant::broken() != broken_before {
            violation = Some(format!("invariants broken: {:?}", invariant::broken()));
        }
    }
    let tally = world.tally();
    WorldEnd {
        name: world.name(),
        steps: done,
        faults: tally.faults.clone(),
        ended: tally.ended.clone(),
        violation,
    }
}

/// Runs the bench.
///
/// # Errors
/// A violation was found, or a protection's removal was not noticed.
pub fn run(flags: &SoakFlags) -> BenchResult<()> {
    if flags.mutations {
        return run_mutations(flags);
    }
    let started = time::Instant::now();
    let ends = run_worlds(flags.seed, flags.steps, flags.without);
    let mut violations = 0;
    for end in &ends {
        violations += usize::from(end.violation.is_some());
        println!(
            "{}",
            serde_json::json!({
                "bench": "soak", "world": end.name, "seed": flags.seed, "steps": end.steps,
                "faults": end.faults, "ended": end.ended, "violation": end.violation,
            })
        );
    }
    println!(
        "violations={violations} seconds={:.1}",
        started.elapsed().as_secs_f64()
    );
    if violations > 0 {
        return Err("a violation was found".into());
    }
    Ok(())
}

fn run_mutations(flags: &SoakFlags) -> BenchResult<()> {
    use clap::ValueEnum as _;
    let mut rows = Vec::new();
    let mut unnoticed = 0;
    for protection in Protection::value_variants() {
        let ends = run_worlds(flags.seed, flags.steps, Some(*protection));
        let found = ends.iter().find(|e| e.violation.is_some());
        unnoticed += usize::from(found.is_none());
        rows.push(match found {
            None => vec![
                format!("{protection:?}"),
                "-".into(),
                "-".into(),
                "NOT NOTICED".into(),
            ],
            Some(end) => vec![
                format!("{protection:?}"),
                end.name.into(),
                end.steps.to_string(),
                end.violation.clone().unwrap_or_default(),
            ],
        });
    }
    report::print_table(&["without", "world", "step", "violation"], &rows);
    if unnoticed > 0 {
        return Err(format!("{unnoticed} removals were not noticed").into());
    }
    Ok(())
}
