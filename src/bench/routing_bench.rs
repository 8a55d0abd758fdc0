//! To come.
use super::BenchResult;
/// Flags.
#[derive(Debug, clap::Args)]
pub struct RoutingFlags {}
/// Runs.
///
/// # Errors
/// None.
pub fn run(_: &RoutingFlags) -> BenchResult<()> {
    Ok(())
}
