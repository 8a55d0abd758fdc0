//! To come.
use super::BenchResult;
/// Flags.
#[derive(Debug, clap::Args)]
pub struct SlopeFlags {}
/// Runs.
///
/// # Errors
/// None.
pub fn run(_: &SlopeFlags) -> BenchResult<()> {
    Ok(())
}
