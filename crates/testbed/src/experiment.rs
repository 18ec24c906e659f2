//! Subcommand `experiment`: the scheduling experiments under virtual time.

use ridgeworks_experiment::{Args, ExperimentError};

/// Runs the experiment, prints its table and writes its files.
///
/// # Errors
///
/// Those of [`ridgeworks_experiment::run`].
pub fn run(arguments: &Args) -> Result<(), ExperimentError> {
    ridgeworks_experiment::run(arguments)?;
    Ok(())
}
