//! The scenario file: one world, for both clocks. TOML, read by serde; what is wrong is told with key, line, value and mend.
//! Called by the programs; owns nothing at run time.

mod config;
mod units;

pub use units::{BadSpan, Span, Spans};

use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with a scenario: at which key and line, with which value, and what mends it.
#[derive(Clone, Debug, PartialEq)]
pub struct BadScenario {
    pub file: String,
    pub line: Option<usize>,
    pub key: String,
    pub problem: String,
}

impl fmt::Display for BadScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.line.map_or(String::new(), |l| format!(":{l}"));
        let key = if self.key.is_empty() {
            String::new()
        } else {
            format!(" {}:", self.key)
        };
        write!(f, "{}{line}:{key} {}", self.file, self.problem)
    }
}

impl std::error::Error for BadScenario {}

/// The whole file.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The format's version: 1.
    pub version: u32,
    pub name: String,
    /// One sentence: what it shows.
    pub shows: String,
    /// For how long packets are handed in; the run goes on until the last of them is over.
    pub lasts: Span,
    /// Of a run that asks for none.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    #[serde(default)]
    pub expect: Expected,
    #[serde(default)]
    pub forwarders: Crew,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub rules: RuleFigures,
    #[serde(default = "defaults::profiles")]
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    pub destinations: Vec<Destination>,
    pub loads: Vec<Load>,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// The figures that a run of the true forwarder is held to: shares from 0 to 1, each with its least and most.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Expected {
    /// Packets that were served in time, of all that were due.
    pub served: Option<[f64; 2]>,
    /// Those served by their first trip.
    pub first_trip: Option<[f64; 2]>,
    /// 99th percentile of the time from due to served, at most.
    pub p99: Option<Span>,
    /// The same on sockets, where this machine's own noise counts too; `p99` where it is not named.
    pub p99_sockets: Option<Span>,
    /// Calls sent for each packet due, at most.
    pub calls_a_packet: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Crew {
    pub count: u32,
    /// Calls that one has out at once.
    pub slots: u32,
    /// Packets that one holds at once.
    pub room: u32,
    /// Trips of a packet at most.
    pub trips: u32,
    pub may_probe: bool,
    pub may_call_off: bool,
    pub may_say_when: bool,
    /// They may send each other notes (simulated clock only).
    pub may_tell: bool,
    /// The longest return time that clients follow.
    pub longest_return: Span,
    pub fading: Fading,
    /// The clocks differ by so much at most, drawn once for each (simulated clock only).
    pub clocks_differ: Span,
    /// The folder of one on sockets, in megabytes.
    pub disk_mb: f64,
}

impl Default for Crew {
    fn default() -> Crew {
        Crew {
            count: 1,
            slots: 64,
            room: 2000,
            trips: 8,
            may_probe: true,
            may_call_off: true,
            may_say_when: true,
            may_tell: false,
            longest_return: Span(2_000_000),
            fading: Fading::Halving,
            clocks_differ: Span(0),
            disk_mb: 64.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fading {
    Evenly,
    #[default]
    Halving,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way.
    pub delay: Span,
    /// What discovery tells comes late by so much at most, by chance for each forwarder.
    pub list_lag: Span,
    /// A connection that takes longer to come up counts as none.
    pub connect_within: Span,
    /// Some new connections come up late.
    pub late: Option<Late>,
    /// The list is told to those that ask for it; left out, it comes by itself (simulated clock only).
    pub asked: Option<Asked>,
}

/// Connections that come up late, each by an even chance of up to `most`; on sockets a second later, or as the kernel tries
/// again, so that `connect_within` has to leave room for it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Late {
    /// The part of the new connections.
    pub share: f64,
    pub most: Span,
}

/// A discovery that is asked: it works off one call after the other.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Asked {
    /// The rules want a call of each forwarder within this time.
    pub within: Span,
    /// What one call takes of discovery's time.
    pub call: Span,
    /// A call that waits for longer has failed, and is worked off all the same.
    pub patience: Span,
    /// A call that would wait for longer is turned away at once.
    pub turned_away: Span,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: Span(300),
            list_lag: Span(200_000),
            connect_within: Span(1_000_000),
            late: None,
            asked: None,
        }
    }
}

/// The figures of the rules, as forwarders are told them and as receivers and oracle hold to them.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RuleFigures {
    pub answer_slack: Span,
    pub drain_grace: Span,
    pub cold_from: f64,
    pub warm_after: Span,
    pub fall_multiple: f64,
    pub overload_for: Span,
    pub order_pause: Span,
}

impl Default for RuleFigures {
    fn default() -> RuleFigures {
        RuleFigures {
            answer_slack: Span(20_000),
            drain_grace: Span(500_000),
            cold_from: 0.2,
            warm_after: Span(10_000_000),
            fall_multiple: 2.0,
            overload_for: Span(2_000_000),
            order_pause: Span(300_000),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    pub effect: Effect,
    /// Of a fingerprinted one: repeats are known for so long.
    #[serde(default = "defaults::window")]
    pub window: Span,
    pub contract_time: Span,
    pub expiry: Span,
    #[serde(default = "defaults::one")]
    pub importance: f64,
    #[serde(default = "defaults::half")]
    pub late_share: f64,
    #[serde(default)]
    pub in_order: bool,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Retriable,
    Fingerprinted,
    Binding,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Packets a second within its share, for all forwarders together.
    pub quota: f64,
}

/// So many destinations of one make.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    pub name: String,
    #[serde(default = "defaults::count")]
    pub count: u32,
    /// Targets of each.
    #[serde(default = "defaults::count")]
    pub targets: u32,
    /// The targets are routes apart, each with its own limit and outages.
    #[serde(default)]
    pub routes_apart: bool,
    /// Calls a second that one (or one route) takes from all together: listed, and limited to where `limited`.
    pub rate: f64,
    #[serde(default = "defaults::yes")]
    pub limited: bool,
    /// Calls over the rate that may come at once; where it is not told, a second's worth.
    #[serde(default)]
    pub burst: Option<f64>,
    /// Refused calls use the limit up as well, as far as a burst.
    #[serde(default)]
    pub refused_count: bool,
    /// Told with 429 above the limit; 0 tells nothing.
    #[serde(default)]
    pub wait: Span,
    /// Calls that a target serves at once.
    #[serde(default = "defaults::places")]
    pub places: u32,
    /// Calls that wait there before 503 is answered.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    pub service: Service,
    /// Chance that a call ends with an error, on any day.
    #[serde(default)]
    pub errors: f64,
    /// Open connections that a target takes; 0 for any number.
    #[serde(default)]
    pub connections: u32,
    /// What a new connection costs beside the way there and back.
    #[serde(default)]
    pub handshake: Span,
    /// A connection is closed after so long without a call.
    #[serde(default = "defaults::idle")]
    pub idle: Span,
    /// Its part of the load, against others.
    #[serde(default = "defaults::one")]
    pub weight: f64,
    /// Falls over when it comes back cold and gets too much.
    #[serde(default = "defaults::yes")]
    pub falls_over: bool,
}

/// Service times.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Service {
    Constant {
        time: Span,
    },
    Exponential {
        mean: Span,
    },
    Lognormal {
        mean: Span,
        sigma: f64,
    },
    Bimodal {
        fast: Span,
        slow: Span,
        slow_share: f64,
    },
}

/// A stream of packets, each due at its time whatever became of those before.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    #[serde(default)]
    pub name: String,
    /// Packets a second in the mean.
    pub rate: f64,
    #[serde(default)]
    pub shape: Shape,
    /// Names of destinations; none for all.
    #[serde(default)]
    pub destinations: Vec<String>,
    /// Zipf's exponent over them; 0 spreads by weight.
    #[serde(default)]
    pub skew: f64,
    /// Names of profiles, drawn evenly; none for all.
    #[serde(default)]
    pub profiles: Vec<String>,
    #[serde(default)]
    pub tenant: Option<String>,
    /// Keys of order, drawn evenly, for profiles in order.
    #[serde(default = "defaults::keys")]
    pub keys: u64,
    /// The part of the packets whose time is only a part of their profile's expiry.
    #[serde(default)]
    pub short: Option<Short>,
    /// Bytes of a body on sockets.
    #[serde(default = "defaults::body")]
    pub body: usize,
    /// How often a client comes again after a deferral, at most.
    #[serde(default = "defaults::returns")]
    pub returns: u32,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Short {
    pub share: f64,
    pub left: Span,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Shape {
    /// Exponential times between packets.
    #[default]
    Poisson,
    /// Even times between packets.
    Even,
    /// From each time on, so many times the rate.
    Steps { steps: Vec<(Span, f64)> },
    /// On for so long at `times` the rate, then off for so long (at `rest` times the rate).
    Bursts {
        on: Span,
        off: Span,
        times: f64,
        #[serde(default)]
        rest: f64,
    },
    /// One wave a day, from `least` to `most` times the rate.
    Day { day: Span, least: f64, most: f64 },
    /// Times in seconds, one a line, a second column may name the destination by number. Beside the scenario file.
    Replay { file: PathBuf },
}

/// Something goes wrong from `at` on, for `lasts`. Several may overlap.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub at: Span,
    pub lasts: Span,
    pub what: What,
    #[serde(default)]
    pub on: Where,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Connections are refused; comes back cold.
    Refusing,
    /// Calls are taken and nothing is answered; comes back cold.
    Silent,
    /// Service takes so many times as long.
    Slow { times: f64 },
    /// So many of the calls end with an error; from one half on, it comes back cold.
    Erring { rate: f64 },
    /// So many of the calls have their connection reset.
    Reset { rate: f64, when: When },
    /// So many of the calls run, and their answers never come.
    AnswerLost { rate: f64 },
    /// So many of the refusals come with a good head, which may tell a wait, and break off.
    RefusalsCut { rate: f64 },
    /// So many of the answers can't be read, though the call ran.
    Garbled { rate: f64 },
    /// So many of the answers begin, and never end.
    Endless { rate: f64 },
    /// 429 with the time until it opens; then cold.
    Shut,
    /// Refuses and serves in turn.
    Flapping { down: Span, up: Span },
    /// So large a part of its capacity is left: rate and places alike.
    Brownout { left: f64 },
    /// Service takes so many times as long, and goes on so after the end, until its queue has been empty.
    Jam { times: f64 },
    /// Told to drain, then gone; another holder under the same address stands ready. One target after the other.
    Drain,
    /// Discovery tells nothing new; what it has to tell comes at the end.
    Stale,
    /// Discovery tells of the whole list without so large a part of it, and at the end of all of it.
    Partial { missing: f64 },
    /// Forwarders are killed and start again at the end.
    Killed { folder: bool },
    /// Forwarders stand still: nothing is read or sent until the end.
    Paused,
    /// Probes are not answered, calls are.
    ProbesFail,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum When {
    Before,
    Within,
    After,
}

/// Which receivers or forwarders; empty means all.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Where {
    /// Destinations by name.
    pub destinations: Vec<String>,
    /// Of those, the ones with these places in their group, from 0.
    pub numbers: Vec<u32>,
    /// Of their targets, the ones with these places.
    pub targets: Vec<u32>,
    /// Of those, the ones in this zone: targets stand in two zones in turn.
    pub zone: Option<u16>,
    /// Of those, so large a part, drawn by chance.
    pub share: Option<f64>,
    /// Forwarders by number, for what strikes them.
    pub forwarders: Vec<u32>,
}

mod defaults {
    use super::*;
    pub fn seed() -> u64 {
        1
    }
    pub fn count() -> u32 {
        1
    }
    pub fn one() -> f64 {
        1.0
    }
    pub fn half() -> f64 {
        0.5
    }
    pub fn yes() -> bool {
        true
    }
    pub fn places() -> u32 {
        16
    }
    pub fn queue() -> u32 {
        64
    }
    pub fn idle() -> Span {
        Span(5_000_000)
    }
    pub fn window() -> Span {
        Span(15_000_000)
    }
    pub fn keys() -> u64 {
        1000
    }
    pub fn body() -> usize {
        200
    }
    pub fn returns() -> u32 {
        3
    }
    pub fn profiles() -> Vec<Profile> {
        vec![Profile {
            name: "notice".into(),
            effect: Effect::Fingerprinted,
            window: window(),
            contract_time: Span(2_500_000),
            expiry: Span(28_000_000),
            importance: 1.0,
            late_share: 0.5,
            in_order: false,
        }]
    }
}

impl Scenario {
    pub fn load(path: &Path) -> Result<Scenario, BadScenario> {
        let file = path.display().to_string();
        let bad = |problem: String| BadScenario {
            file: file.clone(),
            line: None,
            key: String::new(),
            problem,
        };
        let text = std::fs::read_to_string(path).map_err(|e| {
            bad(format!(
                "can't be read: {e}; name a scenario file, such as one of lab/scenarios"
            ))
        })?;
        let mut scenario = Scenario::read(&text, &file)?;
        for load in &mut scenario.loads {
            if let Shape::Replay { file: times } = &mut load.shape {
                *times = path.parent().unwrap_or(Path::new(".")).join(&times);
            }
        }
        Ok(scenario)
    }

    pub fn read(text: &str, file: &str) -> Result<Scenario, BadScenario> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| BadScenario {
            file: file.into(),
            line: e.span().map(|s| line_of(text, s.start)),
            key: String::new(),
            problem: e.message().trim().replace('\n', "; "),
        })?;
        match scenario.faults().into_iter().next() {
            None => Ok(scenario),
            Some((key, problem)) => Err(BadScenario {
                file: file.into(),
                line: find_line(text, &key),
                key,
                problem,
            }),
        }
    }

    /// Values that no world can have, by key.
    fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut say = |bad: bool, key: String, value: String, mend: &str| {
            if bad {
                faults.push((key, format!("{value}: {mend}")));
            }
        };
        let share = |v: f64| !(0.0..=1.0).contains(&v);
        let above = |v: f64| !(v.is_finite() && v > 0.0);
        say(
            self.version != 1,
            "version".into(),
            self.version.to_string(),
            "this program reads version 1",
        );
        say(
            self.lasts.0 == 0,
            "lasts".into(),
            self.lasts.to_string(),
            "must be above 0",
        );
        let crew = &self.forwarders;
        for (key, value) in [
            ("count", crew.count),
            ("slots", crew.slots),
            ("room", crew.room),
            ("trips", crew.trips),
        ] {
            say(
                value == 0,
                format!("forwarders.{key}"),
                "0".into(),
                "must be at least 1",
            );
        }
        say(
            crew.count > 1000,
            "forwarders.count".into(),
            crew.count.to_string(),
            "is 1000 at most",
        );
        say(
            above(crew.disk_mb),
            "forwarders.disk_mb".into(),
            crew.disk_mb.to_string(),
            "must be above 0",
        );
        let r = &self.rules;
        say(
            share(r.cold_from),
            "rules.cold_from".into(),
            r.cold_from.to_string(),
            "is a share from 0 to 1",
        );
        say(
            above(r.fall_multiple),
            "rules.fall_multiple".into(),
            r.fall_multiple.to_string(),
            "must be above 0",
        );
        if let Some(late) = &self.network.late {
            let (most, within) = (late.most, self.network.connect_within);
            say(
                share(late.share),
                "network.late".into(),
                late.share.to_string(),
                "share is from 0 to 1",
            );
            say(
                most.0 > within.0,
                "network.late".into(),
                most.to_string(),
                "is over connect_within",
            );
        }
        say(
            self.profiles.is_empty(),
            "profiles".into(),
            "none".into(),
            "name one at least",
        );
        for (n, p) in self.profiles.iter().enumerate() {
            let key = |k: &str| format!("profiles[{n}].{k}");
            let (contract, expiry) = (p.contract_time, p.expiry);
            say(
                contract.0 == 0,
                key("contract_time"),
                contract.to_string(),
                "must be above 0",
            );
            say(
                expiry.0 < contract.0,
                key("expiry"),
                expiry.to_string(),
                "must not be under contract_time",
            );
            say(
                share(p.late_share),
                key("late_share"),
                p.late_share.to_string(),
                "is a share from 0 to 1",
            );
        }
        say(
            self.destinations.is_empty(),
            "destinations".into(),
            "none".into(),
            "name one at least",
        );
        for (n, d) in self.destinations.iter().enumerate() {
            let key = |k: &str| format!("destinations[{n}].{k}");
            say(d.count == 0, key("count"), "0".into(), "must be at least 1");
            say(
                d.targets == 0,
                key("targets"),
                "0".into(),
                "must be at least 1",
            );
            say(
                d.places == 0,
                key("places"),
                "0".into(),
                "must be at least 1",
            );
            say(
                above(d.rate),
                key("rate"),
                d.rate.to_string(),
                "must be above 0 calls a second",
            );
            say(
                above(d.weight),
                key("weight"),
                d.weight.to_string(),
                "must be above 0",
            );
            say(
                share(d.errors),
                key("errors"),
                d.errors.to_string(),
                "is a share from 0 to 1",
            );
            let twice = self.destinations[..n].iter().any(|o| o.name == d.name);
            say(
                twice,
                key("name"),
                d.name.clone(),
                "is taken by another, give it one of its own",
            );
            if let Service::Bimodal { slow_share, .. } = d.service {
                say(
                    share(slow_share),
                    key("service"),
                    slow_share.to_string(),
                    "slow_share is from 0 to 1",
                );
            }
            if let Service::Lognormal { sigma, .. } = d.service {
                say(
                    above(sigma),
                    key("service"),
                    sigma.to_string(),
                    "sigma must be above 0",
                );
            }
        }
        let all: u64 = self.destinations.iter().map(|d| u64::from(d.count)).sum();
        say(
            all > 60_000,
            "destinations".into(),
            all.to_string(),
            "are 60000 at most, all counts together",
        );
        let known = |name: &String| self.destinations.iter().any(|d| d.name == *name);
        say(
            self.loads.is_empty(),
            "loads".into(),
            "none".into(),
            "name one at least",
        );
        for (n, l) in self.loads.iter().enumerate() {
            let key = |k: &str| format!("loads[{n}].{k}");
            say(
                above(l.rate),
                key("rate"),
                l.rate.to_string(),
                "must be above 0 packets a second",
            );
            say(
                !(l.skew >= 0.0 && l.skew.is_finite()),
                key("skew"),
                l.skew.to_string(),
                "must not be under 0",
            );
            say(
                l.body > 65_536,
                key("body"),
                l.body.to_string(),
                "is 65536 bytes at most",
            );
            if let Some(name) = l.destinations.iter().find(|d| !known(d)) {
                say(
                    true,
                    key("destinations"),
                    name.clone(),
                    "is no destination of this file",
                );
            }
            if let Some(name) = l
                .profiles
                .iter()
                .find(|p| !self.profiles.iter().any(|o| o.name == **p))
            {
                say(
                    true,
                    key("profiles"),
                    name.clone(),
                    "is no profile of this file",
                );
            }
            if let Some(name) = l
                .tenant
                .as_ref()
                .filter(|t| !self.tenants.iter().any(|o| o.name == **t))
            {
                say(
                    true,
                    key("tenant"),
                    name.clone(),
                    "is no tenant of this file",
                );
            }
            if let Shape::Bursts { on, off, .. } = &l.shape {
                say(
                    on.0 + off.0 == 0,
                    key("shape"),
                    "0".into(),
                    "on and off can't both be 0",
                );
            }
            if let Shape::Day { day, .. } = &l.shape {
                say(day.0 == 0, key("shape"), "0".into(), "day must be above 0");
            }
        }
        for (n, t) in self.troubles.iter().enumerate() {
            let key = |k: &str| format!("troubles[{n}].{k}");
            if let Some(name) = t.on.destinations.iter().find(|d| !known(d)) {
                say(
                    true,
                    key("on"),
                    name.clone(),
                    "is no destination of this file",
                );
            }
            say(
                t.on.share.is_some_and(share),
                key("on"),
                format!("{:?}", t.on.share),
                "is a share from 0 to 1",
            );
            let rate = match t.what {
                What::Erring { rate }
                | What::Reset { rate, .. }
                | What::AnswerLost { rate }
                | What::Garbled { rate }
                | What::RefusalsCut { rate }
                | What::Endless { rate } => rate,
                What::Partial { missing } => missing,
                What::Brownout { left } => left,
                _ => 0.0,
            };
            say(
                share(rate),
                key("what"),
                rate.to_string(),
                "is a share from 0 to 1",
            );
            if let What::Slow { times } | What::Jam { times } = t.what {
                say(
                    above(times),
                    key("what"),
                    times.to_string(),
                    "times must be above 0",
                );
            }
            if let What::Flapping { down, up } = t.what {
                say(
                    down.0 == 0 || up.0 == 0,
                    key("what"),
                    "0".into(),
                    "down and up must be above 0",
                );
            }
            let most = t.on.forwarders.iter().find(|f| **f >= crew.count);
            say(
                most.is_some(),
                key("on"),
                format!("{most:?}"),
                "is no forwarder: they count from 0",
            );
        }
        faults
    }

    /// The longest expiry: after the load has ended, nothing lives longer.
    pub fn longest_expiry(&self) -> Micros {
        self.profiles.iter().map(|p| p.expiry.0).max().unwrap_or(0)
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].matches('\n').count() + 1
}

/// The line of a key such as `destinations[1].rate`; of the nearest part of it that the file holds.
fn find_line(text: &str, key: &str) -> Option<usize> {
    let table = toml::de::DeTable::parse(text).ok()?;
    let mut here = toml::de::DeValue::Table(table.get_ref().clone());
    let mut line = None;
    for part in key.split('.') {
        let (name, number) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let next = here.get(name)?;
        line = Some(line_of(text, next.span().start)).or(line);
        let mut value = next.get_ref().clone();
        if let Some(number) = number {
            let item = value.get(number)?;
            line = Some(line_of(text, item.span().start));
            let inner = item.get_ref().clone();
            value = inner;
        }
        here = value;
    }
    line
}

#[cfg(test)]
mod tests;
