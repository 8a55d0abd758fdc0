//! To come.
use super::BenchResult;
/// Flags.
#[derive(Debug, clap::Args)]
pub struct SoakFlags {}
/// Runs.
///
/// # Errors
/// None.
pub fn run(_: &SoakFlags) -> BenchResult<()> {
    Ok(())
}
