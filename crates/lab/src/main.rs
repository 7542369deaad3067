//! `opalpulley-lab`: the laboratory's program.
//!
//! Exit codes: 0 all as expected; 1 a rule broken, or an expectation missed; 2 something that was given can't be used; 3 a run
//! that says nothing (void).

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use opalpulley_lab::capacity;
use opalpulley_lab::experiments::bids::{cost, Cost};
use opalpulley_lab::experiments::compare::{compare, Verdict};
use opalpulley_lab::experiments::hunt::hunt;
use opalpulley_lab::experiments::sweep::sweep;
use opalpulley_lab::experiments::{in_parallel, simulate, threads, with_values};
use opalpulley_lab::report;
use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sim::Sim;
use opalpulley_lab::sockets::run::{load_only, program_beside, run, stand_ins, Means};
use opalpulley_lab::subject::Make;
use opalpulley_lab::tally::Outcome;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(
    name = "opalpulley-lab",
    version,
    about = "The laboratory: scenarios on two clocks, experiments and reports"
)]
struct Tool {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario, simulated or on sockets, and judges it
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        clocks: Clocks,
        #[command(flatten)]
        world: World,
        /// Writes the outcome as JSON; with both clocks, both
        #[arg(long)]
        json: Option<PathBuf>,
        /// Writes the report as one HTML page, with the outcome as JSON beside it
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// The load tool alone, at forwarders that run already
    Load {
        scenario: PathBuf,
        /// Where they listen
        #[arg(long, required = true, value_delimiter = ',')]
        to: Vec<SocketAddr>,
        #[command(flatten)]
        world: World,
    },
    /// Only the world: receivers and discovery, to try a forwarder by hand
    StandIns {
        scenario: PathBuf,
        #[command(flatten)]
        world: World,
        /// The port of discovery on loopback
        #[arg(long, default_value_t = 8500)]
        discovery_port: u16,
        /// Writes the start-up configuration of a forwarder in this world
        #[arg(long)]
        papers: Option<PathBuf>,
        /// Where that forwarder is to listen
        #[arg(long, default_value = "127.0.0.1:7070")]
        listen: SocketAddr,
    },
    /// Two variants of a scenario, or two builds, paired by seed
    Compare {
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
        #[arg(long, default_value_t = Make::True)]
        make_a: Make,
        #[arg(long, default_value_t = Make::True)]
        make_b: Make,
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
    },
    /// One value over a range
    Sweep {
        scenario: PathBuf,
        /// As in forwarders.slots or destinations[0].rate
        #[arg(long)]
        key: String,
        #[arg(long, required = true, value_delimiter = ',')]
        values: Vec<String>,
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        #[arg(long, default_value_t = Make::True)]
        make: Make,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Draws worlds round a scenario until a rule breaks or the loss is greatest, and shrinks the worst
    Hunt {
        scenario: PathBuf,
        #[arg(long, default_value_t = 200)]
        worlds: usize,
        /// The first seed; worlds take those after it
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = Make::True)]
        make: Make,
        /// Where what was found is saved
        #[arg(long, default_value = "found")]
        save: PathBuf,
    },
    /// One page from outcomes that were written as JSON
    Report {
        #[arg(required = true)]
        outcomes: Vec<PathBuf>,
        #[arg(long, default_value = "report.html")]
        to: PathBuf,
    },
    /// What the core's own work costs while so many packets wait in one line
    Bids {
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000, 10000])]
        waiting: Vec<u32>,
        #[arg(long, default_value_t = 2000)]
        rounds: u32,
    },
    /// What the core and the program hold and use at several sizes, with the slope of each figure
    #[command(subcommand)]
    Capacity(capacity::command::Command),
    /// Plays every scenario of a folder
    Catalogue {
        #[arg(default_value = "lab/scenarios")]
        folder: PathBuf,
        #[command(flatten)]
        clocks: Clocks,
        #[command(flatten)]
        world: World,
        /// Writes a page for each scenario
        #[arg(long)]
        reports: Option<PathBuf>,
        /// Only those that last no longer, s
        #[arg(long)]
        shorter_than: Option<f64>,
    },
}

#[derive(Args, Clone)]
struct Clocks {
    /// On the simulated clock; so also if no clock is named
    #[arg(long)]
    simulated: bool,
    /// On sockets, in real time
    #[arg(long)]
    sockets: bool,
    /// The forwarder's program; beside this one if not named
    #[arg(long)]
    forwarder: Option<PathBuf>,
    /// A folder for the forwarders' logs
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Binds the forwarders to this core
    #[arg(long)]
    pin: Option<usize>,
}

#[derive(Args, Clone)]
struct World {
    /// The scenario's own if not named
    #[arg(long)]
    seed: Option<u64>,
    /// Sets a value, as KEY=VALUE
    #[arg(long)]
    set: Vec<String>,
    /// Which forwarder is simulated
    #[arg(long, default_value_t = Make::True)]
    make: Make,
}

/// What ends the program early: its words and its code.
struct Fault(String, u8);

impl From<String> for Fault {
    fn from(words: String) -> Fault {
        Fault(words, 2)
    }
}

type Done = Result<ExitCode, Fault>;

fn load(path: &Path, set: &[String]) -> Result<Scenario, Fault> {
    let scenario = Scenario::load(path).map_err(|e| e.to_string())?;
    Ok(if set.is_empty() {
        scenario
    } else {
        with_values(&scenario, set)?
    })
}

fn bar(name: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg:24} {wide_bar} {pos}/{len} s {elapsed}");
    ProgressBar::new(0)
        .with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
        .with_message(name.to_owned())
}

fn watch(bar: &ProgressBar) -> impl FnMut(u64, u64) + '_ {
    |now, whole| {
        bar.set_length(whole / 1_000_000);
        bar.set_position(now / 1_000_000);
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Fault> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| Fault(e.to_string(), 2))
}

fn write(path: &Path, text: &str) -> Result<(), Fault> {
    std::fs::write(path, text).map_err(|e| Fault(format!("{}: {e}", path.display()), 2))
}

fn json<T: serde::Serialize>(value: &T) -> Result<String, Fault> {
    serde_json::to_string_pretty(value)
        .map(|t| t + "\n")
        .map_err(|e| Fault(e.to_string(), 2))
}

fn play(scenario: &Scenario, clocks: &Clocks, world: &World) -> Result<Vec<Outcome>, Fault> {
    let seed = world.seed.unwrap_or(scenario.seed);
    let mut outcomes = Vec::new();
    if clocks.simulated || !clocks.sockets {
        let bar = bar(&scenario.name);
        let begun = Instant::now();
        let (outcome, work) =
            Sim::new(scenario, seed, world.make)?.run_until(u64::MAX, watch(&bar));
        bar.finish_and_clear();
        let took = begun.elapsed().as_secs_f64();
        eprintln!(
            "simulated in {took:.2} s: {} happenings, {} events of the core ({:.0} a second)",
            work.happenings,
            work.core_events,
            work.core_events as f64 / took
        );
        outcomes.push(outcome);
    }
    if clocks.sockets {
        let program = clocks.forwarder.clone().unwrap_or_else(program_beside);
        if !program.is_file() {
            return Err(Fault(
                format!(
                    "{}: no such program; build it, or name one with --forwarder",
                    program.display()
                ),
                2,
            ));
        }
        if let Some(logs) = &clocks.logs {
            std::fs::create_dir_all(logs)
                .map_err(|e| Fault(format!("{}: {e}", logs.display()), 2))?;
        }
        let means = Means {
            program,
            logs: clocks.logs.clone(),
            pin: clocks.pin,
        };
        let bar = bar(&scenario.name);
        let (outcome, usage) = runtime()?.block_on(run(scenario, seed, &means, watch(&bar)))?;
        bar.finish_and_clear();
        eprintln!(
            "forwarders used {:.1} us of CPU a packet, {:.2} of a core, {:.1} MB the largest",
            usage.cpu as f64 / outcome.counts.due.max(1) as f64,
            usage.cpu as f64 / 1e6 / usage.seconds,
            usage.memory as f64 / 1e6
        );
        outcomes.push(outcome);
    }
    Ok(outcomes)
}

fn verdict(outcomes: &[Outcome]) -> ExitCode {
    match () {
        () if outcomes.iter().any(|o| o.void.is_some()) => ExitCode::from(3),
        () if outcomes.iter().any(|o| !o.misses().is_empty()) => ExitCode::FAILURE,
        () => ExitCode::SUCCESS,
    }
}

fn go(command: Command) -> Done {
    match command {
        Command::Run {
            scenario,
            clocks,
            world,
            json: to,
            report: page,
        } => {
            let outcomes = play(&load(&scenario, &world.set)?, &clocks, &world)?;
            outcomes.iter().for_each(|o| print!("{}", report::text(o)));
            // Beside a page lie its figures.
            let to = to.or(page.as_ref().map(|p| p.with_extension("json")));
            if let Some(to) = to {
                // One run is one object, as `report` reads it; several are a list.
                write(
                    &to,
                    &if outcomes.len() == 1 {
                        json(&outcomes[0])?
                    } else {
                        json(&outcomes)?
                    },
                )?;
            }
            if let Some(page) = page {
                write(&page, &report::html(&outcomes)?)?;
            }
            Ok(verdict(&outcomes))
        }
        Command::Load {
            scenario,
            to,
            world,
        } => {
            let scenario = load(&scenario, &world.set)?;
            let bar = bar(&scenario.name);
            let seed = world.seed.unwrap_or(scenario.seed);
            let outcome = runtime()?.block_on(load_only(&scenario, seed, &to, watch(&bar)))?;
            bar.finish_and_clear();
            let c = &outcome.counts;
            println!(
                "due {}, handed in {}, deferred {}, turned away {}",
                c.due, c.hand_ins, c.deferrals, c.turned_away
            );
            c.outcomes
                .iter()
                .for_each(|(name, n)| println!("{name}: {n}"));
            println!("the load tool was {} us late at p99", outcome.load_late);
            Ok(if outcome.void.is_some() {
                ExitCode::from(3)
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::StandIns {
            scenario,
            world,
            discovery_port,
            papers,
            listen,
        } => {
            let scenario = load(&scenario, &world.set)?;
            let seed = world.seed.unwrap_or(scenario.seed);
            runtime()?.block_on(async {
                let (discovery, targets) = stand_ins(&scenario, seed, discovery_port).await?;
                if let Some(path) = &papers {
                    let mut text = scenario.startup_config(0, seed);
                    text["listen"] = listen.to_string().into();
                    text["discovery"] = discovery.to_string().into();
                    text["settings"]["Balancers"] = 1.into();
                    write(path, &json(&text)?)?;
                    println!("start papers: {}", path.display());
                }
                println!("discovery and notices at {discovery}");
                let listed = targets.iter().map(ToString::to_string).collect::<Vec<_>>();
                println!("receivers at {}", listed.join(", "));
                let _ = tokio::signal::ctrl_c().await; // where that can't be heard, it ends now
                Ok(ExitCode::SUCCESS)
            })
        }
        Command::Compare {
            a,
            b,
            set_a,
            set_b,
            build_a,
            build_b,
            make_a,
            make_b,
            forwarder_a,
            forwarder_b,
            sockets,
            seeds,
            json: to,
        } => {
            let side = |file: &Path, set: &[String], build: Option<PathBuf>, make, forwarder| {
                Ok::<_, Fault>(Side {
                    file: file.into(),
                    set: set.to_vec(),
                    scenario: load(file, set)?,
                    build,
                    make,
                    forwarder,
                })
            };
            let (a, b) = (
                side(&a, &set_a, build_a, make_a, forwarder_a)?,
                side(&b, &set_b, build_b, make_b, forwarder_b)?,
            );
            let seeds: Vec<u64> = (1..=seeds).collect();
            let (a, b) = match sockets {
                // In turn, so that this machine's moods strike both alike.
                true => {
                    let (mut left, mut right) = (Vec::new(), Vec::new());
                    for seed in seeds {
                        left.push(a.on_sockets(seed)?);
                        right.push(b.on_sockets(seed)?);
                    }
                    (left, right)
                }
                false => {
                    let of = |side: &Side| -> Result<Vec<Outcome>, Fault> {
                        in_parallel(&seeds, threads(), |s| side.simulated(*s))
                            .into_iter()
                            .collect()
                    };
                    (of(&a)?, of(&b)?)
                }
            };
            if let Some(void) = a.iter().chain(&b).find_map(|o| o.void.as_ref()) {
                return Err(Fault(format!("a run is void: {void}"), 3));
            }
            let comparison = compare(&a, &b);
            println!("{comparison}");
            if let Some(to) = to {
                write(&to, &json(&comparison)?)?;
            }
            Ok(if comparison.verdict == Verdict::Worse {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::Sweep {
            scenario,
            key,
            values,
            seeds,
            make,
            json: to,
        } => {
            let rows = sweep(&load(&scenario, &[])?, &key, &values, seeds, make)?;
            println!("{rows}");
            if let Some(to) = to {
                write(&to, &json(&rows)?)?;
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Hunt {
            scenario,
            worlds,
            seed,
            make,
            save,
        } => {
            let scenario = load(&scenario, &[])?;
            let bar = bar("worlds");
            let catch = hunt(&scenario, seed, worlds, make, |n| {
                bar.set_length(worlds as u64);
                bar.set_position(n as u64);
            })?;
            bar.finish_and_clear();
            println!(
                "the worst of {} worlds, seed {}, after {} runs of shrinking:",
                catch.drawn, catch.seed, catch.shrinking
            );
            print!("{}", report::text(&catch.outcome));
            std::fs::create_dir_all(&save)
                .map_err(|e| Fault(format!("{}: {e}", save.display()), 2))?;
            let mut saved = catch.scenario.clone();
            saved.seed = catch.seed;
            let path = save.join(format!("{}.toml", saved.name));
            write(&path, &toml::to_string(&saved).map_err(|e| e.to_string())?)?;
            println!("saved as {}", path.display());
            Ok(if catch.outcome.broken.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Command::Report { outcomes, to } => {
            let mut all = Vec::new();
            for path in outcomes {
                let say = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
                let text = std::fs::read_to_string(&path).map_err(|e| say(&e))?;
                match serde_json::from_str::<Vec<Outcome>>(&text) {
                    Ok(several) => all.extend(several),
                    Err(_) => all.push(serde_json::from_str(&text).map_err(|e| say(&e))?),
                }
            }
            write(&to, &report::html(&all)?)?;
            println!("{}", to.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Bids { waiting, rounds } => {
            println!(
                "{:>10}{:>16}{:>16}",
                "waiting", "arrival ns", "end and bid ns"
            );
            for waiting in waiting {
                let Cost { arrival, end, .. } = cost(waiting, rounds);
                println!("{waiting:>10}{arrival:>16.0}{end:>16.0}");
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Capacity(command) => {
            Ok(capacity::command::run(command).map(|()| ExitCode::SUCCESS)?)
        }
        Command::Catalogue {
            folder,
            clocks,
            world,
            reports,
            shorter_than,
        } => {
            let say = |e: std::io::Error| format!("{}: {e}", folder.display());
            let mut files: Vec<PathBuf> = std::fs::read_dir(&folder)
                .map_err(say)?
                .filter_map(|f| Some(f.ok()?.path()))
                .collect();
            files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
            files.sort();
            if let Some(reports) = &reports {
                std::fs::create_dir_all(reports)
                    .map_err(|e| Fault(format!("{}: {e}", reports.display()), 2))?;
            }
            let mut all = Vec::new();
            for file in files {
                let scenario = load(&file, &world.set)?;
                if shorter_than.is_some_and(|s| scenario.lasts.seconds() > s) {
                    continue;
                }
                let outcomes = play(&scenario, &clocks, &world)?;
                for o in &outcomes {
                    let misses = o.misses();
                    let told = if misses.is_empty() {
                        "as expected".to_owned()
                    } else {
                        misses.join("; ")
                    };
                    let (p99, served) = (o.latency.p99 as f64 / 1e3, o.served_share());
                    println!(
                        "{:<24}{:<11}served {served:.4}  p99 {p99:>9.1} ms  {told}",
                        o.scenario,
                        format!("{:?}", o.clock)
                    );
                }
                if let Some(reports) = &reports {
                    write(
                        &reports.join(format!("{}.html", scenario.name)),
                        &report::html(&outcomes)?,
                    )?;
                }
                all.extend(outcomes);
            }
            Ok(verdict(&all))
        }
    }
}

/// One side of a comparison.
struct Side {
    file: PathBuf,
    set: Vec<String>,
    scenario: Scenario,
    build: Option<PathBuf>,
    make: Make,
    forwarder: Option<PathBuf>,
}

impl Side {
    fn simulated(&self, seed: u64) -> Result<Outcome, Fault> {
        let Some(build) = &self.build else {
            return Ok(simulate(&self.scenario, seed, self.make)?);
        };
        let say = |e: &dyn std::fmt::Display| Fault(format!("{}: {e}", build.display()), 2);
        let to = tempfile::NamedTempFile::new().map_err(|e| say(&e))?;
        let mut command = std::process::Command::new(build);
        command
            .arg("run")
            .arg(&self.file)
            .args(["--simulated", "--seed", &seed.to_string(), "--json"])
            .arg(to.path());
        self.set.iter().for_each(|s| _ = command.args(["--set", s]));
        let ended = command.output().map_err(|e| say(&e))?;
        let text = std::fs::read_to_string(to.path()).map_err(|e| say(&e))?;
        serde_json::from_str(&text).map_err(|e| {
            say(&format!(
                "{e}; it said {}",
                String::from_utf8_lossy(&ended.stderr)
            ))
        })
    }

    fn on_sockets(&self, seed: u64) -> Result<Outcome, Fault> {
        let program = self.forwarder.clone().unwrap_or_else(program_beside);
        let means = Means {
            program,
            logs: None,
            pin: None,
        };
        Ok(runtime()?
            .block_on(run(&self.scenario, seed, &means, |_, _| {}))?
            .0)
    }
}

fn main() -> ExitCode {
    match go(Tool::parse().command) {
        Ok(code) => code,
        Err(Fault(words, code)) => {
            eprintln!("opalpulley-lab: {words}");
            ExitCode::from(code)
        }
    }
}
