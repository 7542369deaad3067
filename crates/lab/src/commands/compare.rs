//! The subcommand `compare`, which compares two variants of a scenario, or two builds, in runs paired by seed.

use super::error::CommandError;
use super::options::load_scenario;
use super::output::write_json;
use super::run_scenario::build_runtime;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::compare::{compare, Verdict};
use opalpulley_lab::experiments::{parallelism, run_in_parallel, simulate};
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sockets::run::{default_forwarder_program, run, SocketRunOptions};
use opalpulley_lab::subject::ForwarderVariant;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

/// Options of the subcommand `compare`.
#[derive(Args)]
pub struct Options {
    /// The scenario file of side A
    a: PathBuf,
    /// The scenario file of side B; may be the file of side A
    b: PathBuf,
    /// Sets a value in the scenario of side A, as KEY=VALUE; may be given several times
    #[arg(long)]
    set_a: Vec<String>,
    /// Sets a value in the scenario of side B, as KEY=VALUE; may be given several times
    #[arg(long)]
    set_b: Vec<String>,
    /// Simulates side A with another build of this program
    #[arg(long)]
    build_a: Option<PathBuf>,
    /// Simulates side B with another build of this program
    #[arg(long)]
    build_b: Option<PathBuf>,
    /// The forwarder variant of side A in runs that this program simulates
    #[arg(long = "make-a", default_value_t = ForwarderVariant::True)]
    variant_a: ForwarderVariant,
    /// The forwarder variant of side B in runs that this program simulates
    #[arg(long = "make-b", default_value_t = ForwarderVariant::True)]
    variant_b: ForwarderVariant,
    /// The forwarder program of side A with --sockets; by default the one in the directory of this program
    #[arg(long)]
    forwarder_a: Option<PathBuf>,
    /// The forwarder program of side B with --sockets; by default the one in the directory of this program
    #[arg(long)]
    forwarder_b: Option<PathBuf>,
    /// Runs both sides on sockets in real time
    #[arg(long)]
    sockets: bool,
    /// Number of pairs of runs; the seeds count from 1
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Writes the comparison as JSON into this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs both sides with each seed, then prints the comparison and its verdict. Fails if a run is invalid.
pub fn execute(options: Options) -> CommandResult {
    let seeds: Vec<u64> = (1..=options.seeds).collect();
    let (use_sockets, json_path) = (options.sockets, options.json.clone());
    let (side_a, side_b) = options.into_sides()?;
    let (outcomes_a, outcomes_b) = if use_sockets {
        run_alternately_on_sockets(&side_a, &side_b, &seeds)?
    } else {
        (side_a.simulate_all(&seeds)?, side_b.simulate_all(&seeds)?)
    };
    let mut all_outcomes = outcomes_a.iter().chain(&outcomes_b);
    if let Some(reason) = all_outcomes.find_map(|outcome| outcome.void.clone()) {
        return Err(CommandError::InvalidRun { reason });
    }
    let comparison = compare(&outcomes_a, &outcomes_b);
    println!("{comparison}");
    if let Some(path) = json_path {
        write_json(&path, &comparison)?;
    }
    Ok(match comparison.verdict {
        Verdict::Worse => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    })
}

impl Options {
    fn into_sides(self) -> Result<(ComparedSide, ComparedSide), CommandError> {
        let side_a = ComparedSide {
            scenario: load_scenario(&self.a, &self.set_a)?,
            scenario_file: self.a,
            assignments: self.set_a,
            build: self.build_a,
            variant: self.variant_a,
            forwarder: self.forwarder_a,
        };
        let side_b = ComparedSide {
            scenario: load_scenario(&self.b, &self.set_b)?,
            scenario_file: self.b,
            assignments: self.set_b,
            build: self.build_b,
            variant: self.variant_b,
            forwarder: self.forwarder_b,
        };
        Ok((side_a, side_b))
    }
}

/// Runs A and B alternately, seed by seed, so that other load on this machine affects both sides alike.
fn run_alternately_on_sockets(
    side_a: &ComparedSide,
    side_b: &ComparedSide,
    seeds: &[u64],
) -> Result<(Vec<Outcome>, Vec<Outcome>), CommandError> {
    let mut outcomes_a = Vec::new();
    let mut outcomes_b = Vec::new();
    for seed in seeds {
        outcomes_a.push(side_a.run_on_sockets(*seed)?);
        outcomes_b.push(side_b.run_on_sockets(*seed)?);
    }
    Ok((outcomes_a, outcomes_b))
}

/// One side of a comparison, as the options describe it.
struct ComparedSide {
    scenario_file: PathBuf,
    /// Values that are set in the scenario, each as KEY=VALUE.
    assignments: Vec<String>,
    /// The scenario with the assignments applied.
    scenario: Scenario,
    /// Another build of this program that simulates this side, if one is named.
    build: Option<PathBuf>,
    /// Ignored if another build simulates this side.
    variant: ForwarderVariant,
    /// The forwarder program on sockets; the one in the directory of this program if none is named.
    forwarder: Option<PathBuf>,
}

impl ComparedSide {
    fn simulate_all(&self, seeds: &[u64]) -> Result<Vec<Outcome>, CommandError> {
        let results = run_in_parallel(seeds, parallelism(), |seed| self.simulate(*seed));
        results.into_iter().collect()
    }

    fn simulate(&self, seed: u64) -> Result<Outcome, CommandError> {
        match &self.build {
            Some(build) => self.simulate_with_build(build, seed),
            None => Ok(simulate(&self.scenario, seed, self.variant)?),
        }
    }

    /// Runs another build of this program and returns the outcome that it writes.
    ///
    /// Fails if the build can't be started or writes no outcome; its exit code is not checked.
    fn simulate_with_build(&self, build: &Path, seed: u64) -> Result<Outcome, CommandError> {
        let build_error = |source| CommandError::OtherBuild {
            build: build.to_owned(),
            source,
        };
        let outcome_file = tempfile::NamedTempFile::new().map_err(build_error)?;
        let mut command = process::Command::new(build);
        command
            .arg("run")
            .arg(&self.scenario_file)
            .args(["--simulated", "--seed", &seed.to_string(), "--json"])
            .arg(outcome_file.path());
        for assignment in &self.assignments {
            command.args(["--set", assignment]);
        }
        let process_output = command.output().map_err(build_error)?;
        let text = std::fs::read_to_string(outcome_file.path()).map_err(build_error)?;
        serde_json::from_str(&text).map_err(|source| CommandError::OtherBuildOutcome {
            build: build.to_owned(),
            source,
            stderr: String::from_utf8_lossy(&process_output.stderr).into_owned(),
        })
    }

    fn run_on_sockets(&self, seed: u64) -> Result<Outcome, CommandError> {
        let socket_options = SocketRunOptions {
            program: self
                .forwarder
                .clone()
                .unwrap_or_else(default_forwarder_program),
            log_folder: None,
            pinned_core: None,
        };
        let result =
            build_runtime()?.block_on(run(&self.scenario, seed, &socket_options, |_, _| {}));
        let (outcome, _usage) = result?;
        Ok(outcome)
    }
}
