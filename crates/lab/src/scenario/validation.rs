//! Values that no world can have, and what to write instead.

use super::{DeliveryClass, Destination, Fault, FaultKind, Load, Scenario, ServiceTime, Shape};

const FORMAT_VERSION: u32 = 1;
const MAX_FORWARDERS: u32 = 1000;
const MAX_DESTINATIONS: u64 = 60_000;
const MAX_BODY_BYTES: usize = 65_536;

const AT_LEAST_ONE: &str = "must be at least 1";
const ABOVE_ZERO: &str = "must be above 0";
const NAME_ONE: &str = "name one at least";
const SHARE: &str = "is a share from 0 to 1";

/// A value that no world can have.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct BadValue {
    /// Its key, such as `destinations[1].rate`.
    pub key: String,
    /// The value and what to write instead.
    pub problem: String,
}

impl Scenario {
    /// The first value, in the order of the checks, that no world can have.
    pub(super) fn first_problem(&self) -> Option<BadValue> {
        let mut checks = Checks::default();
        checks.run(self);
        checks.problems.into_iter().next()
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// The problems found so far.
#[derive(Default)]
struct Checks {
    problems: Vec<BadValue>,
}

impl Checks {
    /// Notes a problem with the value of a key unless the value is good.
    fn check(&mut self, good: bool, key: &str, value: impl ToString, remedy: &str) {
        if !good {
            self.problems.push(BadValue {
                key: key.to_owned(),
                problem: format!("{}: {remedy}", value.to_string()),
            });
        }
    }

    /// Notes the first name that is not known, where there is one.
    fn check_names<'a>(
        &mut self,
        mut names: impl Iterator<Item = &'a String>,
        known: impl Fn(&str) -> bool,
        key: &str,
        remedy: &str,
    ) {
        if let Some(name) = names.find(|name| !known(name.as_str())) {
            self.check(false, key, name, remedy);
        }
    }

    fn run(&mut self, scenario: &Scenario) {
        let version = scenario.version;
        let good = version == FORMAT_VERSION;
        self.check(good, "version", version, "this program reads version 1");
        self.check(scenario.lasts.0 > 0, "lasts", scenario.lasts, ABOVE_ZERO);
        self.forwarders(scenario);
        self.rules(scenario);
        self.network(scenario);
        self.check(!scenario.classes.is_empty(), "profiles", "none", NAME_ONE);
        for (index, class) in scenario.classes.iter().enumerate() {
            self.class(class, &format!("profiles[{index}]"));
        }
        self.destinations(scenario);
        self.check(!scenario.loads.is_empty(), "loads", "none", NAME_ONE);
        for (index, load) in scenario.loads.iter().enumerate() {
            self.load(scenario, load, &format!("loads[{index}]"));
        }
        for (index, fault) in scenario.faults.iter().enumerate() {
            self.fault(scenario, fault, &format!("troubles[{index}]"));
        }
    }

    fn forwarders(&mut self, scenario: &Scenario) {
        let fleet = &scenario.forwarders;
        for (key, value) in [
            ("forwarders.count", fleet.count),
            ("forwarders.slots", fleet.concurrency_limit),
            ("forwarders.room", fleet.message_capacity),
            ("forwarders.trips", fleet.max_attempts),
        ] {
            self.check(value > 0, key, "0", AT_LEAST_ONE);
        }
        let few = fleet.count <= MAX_FORWARDERS;
        self.check(few, "forwarders.count", fleet.count, "is 1000 at most");
        let disk_mb = fleet.disk_mb;
        self.check(
            is_positive(disk_mb),
            "forwarders.disk_mb",
            disk_mb,
            ABOVE_ZERO,
        );
    }

    fn rules(&mut self, scenario: &Scenario) {
        let share = scenario.rules.cold_capacity_share;
        self.check(is_share(share), "rules.cold_from", share, SHARE);
        let multiple = scenario.rules.overload_multiple;
        self.check(
            is_positive(multiple),
            "rules.fall_multiple",
            multiple,
            ABOVE_ZERO,
        );
    }

    fn network(&mut self, scenario: &Scenario) {
        let Some(late) = &scenario.network.late_connections else {
            return;
        };
        let key = "network.late";
        self.check(
            is_share(late.share),
            key,
            late.share,
            "share is from 0 to 1",
        );
        let in_time = late.most.0 <= scenario.network.connect_timeout.0;
        self.check(in_time, key, late.most, "is over connect_within");
    }

    fn class(&mut self, class: &DeliveryClass, at: &str) {
        let objective = class.latency_objective;
        let key = format!("{at}.contract_time");
        self.check(objective.0 > 0, &key, objective, ABOVE_ZERO);
        let time_to_live = class.time_to_live;
        let key = format!("{at}.expiry");
        let remedy = "must not be under contract_time";
        self.check(time_to_live.0 >= objective.0, &key, time_to_live, remedy);
        let share = class.late_weight_share;
        self.check(is_share(share), &format!("{at}.late_share"), share, SHARE);
    }

    fn destinations(&mut self, scenario: &Scenario) {
        let groups = &scenario.destinations;
        self.check(!groups.is_empty(), "destinations", "none", NAME_ONE);
        for (index, group) in groups.iter().enumerate() {
            let at = format!("destinations[{index}]");
            self.destination(group, &at);
            let unique = groups[..index].iter().all(|other| other.name != group.name);
            let remedy = "is taken by another, give it one of its own";
            self.check(unique, &format!("{at}.name"), &group.name, remedy);
            self.service_time(&group.service_time, &format!("{at}.service"));
        }
        let all: u64 = groups.iter().map(|group| u64::from(group.count)).sum();
        let remedy = "are 60000 at most, all counts together";
        self.check(all <= MAX_DESTINATIONS, "destinations", all, remedy);
    }

    fn destination(&mut self, group: &Destination, at: &str) {
        for (key, value) in [
            ("count", group.count),
            ("targets", group.endpoints),
            ("places", group.concurrency),
        ] {
            self.check(value > 0, &format!("{at}.{key}"), "0", AT_LEAST_ONE);
        }
        let remedy = "must be above 0 calls a second";
        self.check(
            is_positive(group.rate),
            &format!("{at}.rate"),
            group.rate,
            remedy,
        );
        let weight = group.weight;
        self.check(
            is_positive(weight),
            &format!("{at}.weight"),
            weight,
            ABOVE_ZERO,
        );
        let errors = group.error_rate;
        self.check(is_share(errors), &format!("{at}.errors"), errors, SHARE);
    }

    fn service_time(&mut self, time: &ServiceTime, key: &str) {
        match *time {
            ServiceTime::Bimodal { slow_share, .. } => {
                let remedy = "slow_share is from 0 to 1";
                self.check(is_share(slow_share), key, slow_share, remedy);
            }
            ServiceTime::Lognormal { sigma, .. } => {
                self.check(is_positive(sigma), key, sigma, "sigma must be above 0");
            }
            ServiceTime::Constant { .. } | ServiceTime::Exponential { .. } => {}
        }
    }

    fn load(&mut self, scenario: &Scenario, load: &Load, at: &str) {
        let remedy = "must be above 0 packets a second";
        self.check(
            is_positive(load.rate),
            &format!("{at}.rate"),
            load.rate,
            remedy,
        );
        let skew_is_good = load.skew >= 0.0 && load.skew.is_finite();
        self.check(
            skew_is_good,
            &format!("{at}.skew"),
            load.skew,
            "must not be under 0",
        );
        let small = load.body_bytes <= MAX_BODY_BYTES;
        let key = format!("{at}.body");
        self.check(small, &key, load.body_bytes, "is 65536 bytes at most");
        self.load_names(scenario, load, at);
        self.shape(&load.shape, &format!("{at}.shape"));
    }

    fn load_names(&mut self, scenario: &Scenario, load: &Load, at: &str) {
        self.check_names(
            load.destinations.iter(),
            |name| scenario.has_destination(name),
            &format!("{at}.destinations"),
            "is no destination of this file",
        );
        self.check_names(
            load.classes.iter(),
            |name| scenario.classes.iter().any(|class| class.name == name),
            &format!("{at}.profiles"),
            "is no profile of this file",
        );
        self.check_names(
            load.tenant.iter(),
            |name| scenario.tenants.iter().any(|tenant| tenant.name == name),
            &format!("{at}.tenant"),
            "is no tenant of this file",
        );
    }

    fn shape(&mut self, shape: &Shape, key: &str) {
        match shape {
            Shape::Bursts { on, off, .. } => {
                let remedy = "on and off can't both be 0";
                self.check(on.0 + off.0 > 0, key, "0", remedy);
            }
            Shape::Day { day, .. } => self.check(day.0 > 0, key, "0", "day must be above 0"),
            _ => {}
        }
    }

    fn fault(&mut self, scenario: &Scenario, fault: &Fault, at: &str) {
        let scope_key = format!("{at}.on");
        self.check_names(
            fault.scope.destinations.iter(),
            |name| scenario.has_destination(name),
            &scope_key,
            "is no destination of this file",
        );
        let share = fault.scope.share;
        let shown = format!("{share:?}");
        self.check(share.is_none_or(is_share), &scope_key, shown, SHARE);
        self.fault_kind(&fault.kind, &format!("{at}.what"));
        let mut numbers = fault.scope.forwarders.iter();
        let unknown = numbers.find(|number| **number >= scenario.forwarders.count);
        let remedy = "is no forwarder: they count from 0";
        let shown = format!("{unknown:?}");
        self.check(unknown.is_none(), &scope_key, shown, remedy);
    }

    fn fault_kind(&mut self, kind: &FaultKind, key: &str) {
        let share = kind.share().unwrap_or(0.0);
        self.check(is_share(share), key, share, SHARE);
        match *kind {
            FaultKind::Slow { times } | FaultKind::Jam { times } => {
                self.check(is_positive(times), key, times, "times must be above 0");
            }
            FaultKind::Flapping { down, up } => {
                let both = down.0 > 0 && up.0 > 0;
                self.check(both, key, "0", "down and up must be above 0");
            }
            _ => {}
        }
    }
}

impl Scenario {
    fn has_destination(&self, name: &str) -> bool {
        let mut groups = self.destinations.iter();
        groups.any(|group| group.name == name)
    }
}
