//! `compare`: two variants of a scenario, or two builds, paired by seed.

use super::error::CommandError;
use super::options::load_scenario;
use super::output::write_json;
use super::play::runtime;
use super::CommandResult;
use clap::Args;
use opalpulley_lab::experiments::compare::{compare, Verdict};
use opalpulley_lab::experiments::{in_parallel, simulate, threads};
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sockets::run::{default_forwarder_program, run, SocketRunOptions};
use opalpulley_lab::subject::ForwarderVariant;
use opalpulley_lab::tally::Outcome;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

/// Options of `compare`.
#[derive(Args)]
pub struct Options {
    /// A: a scenario file
    a: PathBuf,
    /// B: another one, or the same
    b: PathBuf,
    /// Sets values in A, as KEY=VALUE
    #[arg(long)]
    set_a: Vec<String>,
    /// Sets values in B
    #[arg(long)]
    set_b: Vec<String>,
    /// A is played by another build of this program
    #[arg(long)]
    build_a: Option<PathBuf>,
    /// B is played by another build of this program
    #[arg(long)]
    build_b: Option<PathBuf>,
    #[arg(long = "make-a", default_value_t = ForwarderVariant::True)]
    variant_a: ForwarderVariant,
    #[arg(long = "make-b", default_value_t = ForwarderVariant::True)]
    variant_b: ForwarderVariant,
    /// On sockets, with these forwarders for A and B; needs --sockets
    #[arg(long)]
    forwarder_a: Option<PathBuf>,
    #[arg(long)]
    forwarder_b: Option<PathBuf>,
    #[arg(long)]
    sockets: bool,
    /// Pairs
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Plays both sides with each seed, prints the comparison and its verdict.
pub fn execute(options: Options) -> CommandResult {
    let seeds: Vec<u64> = (1..=options.seeds).collect();
    let (on_sockets, json) = (options.sockets, options.json.clone());
    let (side_a, side_b) = options.into_sides()?;
    let (outcomes_a, outcomes_b) = if on_sockets {
        play_in_turn_on_sockets(&side_a, &side_b, &seeds)?
    } else {
        (side_a.simulate_all(&seeds)?, side_b.simulate_all(&seeds)?)
    };
    let mut both = outcomes_a.iter().chain(&outcomes_b);
    if let Some(reason) = both.find_map(|outcome| outcome.void.clone()) {
        return Err(CommandError::VoidRun { reason });
    }
    let comparison = compare(&outcomes_a, &outcomes_b);
    println!("{comparison}");
    if let Some(path) = json {
        write_json(&path, &comparison)?;
    }
    Ok(match comparison.verdict {
        Verdict::Worse => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    })
}

impl Options {
    fn into_sides(self) -> Result<(Side, Side), CommandError> {
        let side_a = Side {
            scenario: load_scenario(&self.a, &self.set_a)?,
            file: self.a,
            set: self.set_a,
            build: self.build_a,
            variant: self.variant_a,
            forwarder: self.forwarder_a,
        };
        let side_b = Side {
            scenario: load_scenario(&self.b, &self.set_b)?,
            file: self.b,
            set: self.set_b,
            build: self.build_b,
            variant: self.variant_b,
            forwarder: self.forwarder_b,
        };
        Ok((side_a, side_b))
    }
}

/// Plays A and B in turn with each seed, so that the load of this machine strikes both alike.
fn play_in_turn_on_sockets(
    side_a: &Side,
    side_b: &Side,
    seeds: &[u64],
) -> Result<(Vec<Outcome>, Vec<Outcome>), CommandError> {
    let mut outcomes_a = Vec::new();
    let mut outcomes_b = Vec::new();
    for seed in seeds {
        outcomes_a.push(side_a.play_on_sockets(*seed)?);
        outcomes_b.push(side_b.play_on_sockets(*seed)?);
    }
    Ok((outcomes_a, outcomes_b))
}

/// One side of a comparison.
struct Side {
    file: PathBuf,
    set: Vec<String>,
    scenario: Scenario,
    build: Option<PathBuf>,
    variant: ForwarderVariant,
    forwarder: Option<PathBuf>,
}

impl Side {
    fn simulate_all(&self, seeds: &[u64]) -> Result<Vec<Outcome>, CommandError> {
        let results = in_parallel(seeds, threads(), |seed| self.simulate(*seed));
        results.into_iter().collect()
    }

    fn simulate(&self, seed: u64) -> Result<Outcome, CommandError> {
        match &self.build {
            Some(build) => self.simulate_by_build(build, seed),
            None => Ok(simulate(&self.scenario, seed, self.variant)?),
        }
    }

    /// Runs another build of this program and reads the outcome that it writes.
    fn simulate_by_build(&self, build: &Path, seed: u64) -> Result<Outcome, CommandError> {
        let unusable = |source| CommandError::OtherBuild {
            build: build.to_owned(),
            source,
        };
        let output = tempfile::NamedTempFile::new().map_err(unusable)?;
        let mut command = process::Command::new(build);
        command
            .arg("run")
            .arg(&self.file)
            .args(["--simulated", "--seed", &seed.to_string(), "--json"])
            .arg(output.path());
        for value in &self.set {
            command.args(["--set", value]);
        }
        let ended = command.output().map_err(unusable)?;
        let text = std::fs::read_to_string(output.path()).map_err(unusable)?;
        serde_json::from_str(&text).map_err(|source| CommandError::OtherBuildOutcome {
            build: build.to_owned(),
            source,
            stderr: String::from_utf8_lossy(&ended.stderr).into_owned(),
        })
    }

    fn play_on_sockets(&self, seed: u64) -> Result<Outcome, CommandError> {
        let means = SocketRunOptions {
            program: self
                .forwarder
                .clone()
                .unwrap_or_else(default_forwarder_program),
            log_folder: None,
            pinned_core: None,
        };
        let played = runtime()?.block_on(run(&self.scenario, seed, &means, |_, _| {}));
        let (outcome, _usage) = played?;
        Ok(outcome)
    }
}
