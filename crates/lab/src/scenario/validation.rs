//! Checks the values of a scenario that the types don't constrain, and says what to write instead of an invalid one.

use super::{DeliveryClass, Destination, Fault, FaultKind, Load, Scenario, ServiceTime, Shape};

const FORMAT_VERSION: u32 = 1;
const MAX_FORWARDERS: u32 = 1000;
const MAX_DESTINATIONS: u64 = 60_000;
const MAX_BODY_BYTES: usize = 65_536;

const AT_LEAST_ONE: &str = "must be at least 1";
const ABOVE_ZERO: &str = "must be above 0";
const REQUIRE_ONE: &str = "define at least one";
const SHARE_RANGE: &str = "must be a share from 0 to 1";

/// An invalid value in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InvalidValue {
    /// Key of the value, such as `destinations[1].rate`.
    pub key: String,
    /// The value and what to write instead.
    pub problem: String,
}

impl Scenario {
    /// Returns the first invalid value, in the order of the checks.
    pub(super) fn first_invalid_value(&self) -> Option<InvalidValue> {
        let mut validator = Validator::default();
        validator.run(self);
        validator.problems.into_iter().next()
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Collects the invalid values of a scenario.
#[derive(Default)]
struct Validator {
    problems: Vec<InvalidValue>,
}

impl Validator {
    /// Records the value of `key` as invalid, with what to write instead, unless `valid` is set.
    fn check(&mut self, valid: bool, key: &str, value: impl ToString, remedy: &str) {
        if !valid {
            self.problems.push(InvalidValue {
                key: key.to_owned(),
                problem: format!("{}: {remedy}", value.to_string()),
            });
        }
    }

    /// Records the first name that is not known, if any.
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
        let valid = version == FORMAT_VERSION;
        self.check(valid, "version", version, "this program reads version 1");
        self.check(scenario.lasts.0 > 0, "lasts", scenario.lasts, ABOVE_ZERO);
        self.check_forwarders(scenario);
        self.check_rules(scenario);
        self.check_network(scenario);
        self.check(
            !scenario.classes.is_empty(),
            "profiles",
            "none",
            REQUIRE_ONE,
        );
        for (index, class) in scenario.classes.iter().enumerate() {
            self.check_class(class, &format!("profiles[{index}]"));
        }
        self.check_destinations(scenario);
        self.check(!scenario.loads.is_empty(), "loads", "none", REQUIRE_ONE);
        for (index, load) in scenario.loads.iter().enumerate() {
            self.check_load(scenario, load, &format!("loads[{index}]"));
        }
        for (index, fault) in scenario.faults.iter().enumerate() {
            self.check_fault(scenario, fault, &format!("troubles[{index}]"));
        }
    }

    fn check_forwarders(&mut self, scenario: &Scenario) {
        let fleet = &scenario.forwarders;
        for (key, value) in [
            ("forwarders.count", fleet.count),
            ("forwarders.slots", fleet.concurrency_limit),
            ("forwarders.room", fleet.message_capacity),
            ("forwarders.trips", fleet.max_attempts),
        ] {
            self.check(value > 0, key, "0", AT_LEAST_ONE);
        }
        let within_limit = fleet.count <= MAX_FORWARDERS;
        self.check(
            within_limit,
            "forwarders.count",
            fleet.count,
            "must be at most 1000",
        );
        let disk_mb = fleet.disk_mb;
        self.check(
            is_positive(disk_mb),
            "forwarders.disk_mb",
            disk_mb,
            ABOVE_ZERO,
        );
    }

    fn check_rules(&mut self, scenario: &Scenario) {
        let share = scenario.rules.cold_capacity_share;
        self.check(is_share(share), "rules.cold_from", share, SHARE_RANGE);
        let multiple = scenario.rules.overload_multiple;
        self.check(
            is_positive(multiple),
            "rules.fall_multiple",
            multiple,
            ABOVE_ZERO,
        );
    }

    fn check_network(&mut self, scenario: &Scenario) {
        let Some(late) = &scenario.network.late_connections else {
            return;
        };
        let key = "network.late";
        self.check(
            is_share(late.share),
            key,
            late.share,
            "`share` must be from 0 to 1",
        );
        let within_timeout = late.most.0 <= scenario.network.connect_timeout.0;
        self.check(
            within_timeout,
            key,
            late.most,
            "`most` must not exceed network.connect_within",
        );
    }

    fn check_class(&mut self, class: &DeliveryClass, key_prefix: &str) {
        let objective = class.latency_objective;
        let key = format!("{key_prefix}.contract_time");
        self.check(objective.0 > 0, &key, objective, ABOVE_ZERO);
        let time_to_live = class.time_to_live;
        let key = format!("{key_prefix}.expiry");
        let remedy = "must be at least contract_time";
        self.check(time_to_live.0 >= objective.0, &key, time_to_live, remedy);
        let share = class.late_weight_share;
        self.check(
            is_share(share),
            &format!("{key_prefix}.late_share"),
            share,
            SHARE_RANGE,
        );
    }

    fn check_destinations(&mut self, scenario: &Scenario) {
        let groups = &scenario.destinations;
        self.check(!groups.is_empty(), "destinations", "none", REQUIRE_ONE);
        for (index, group) in groups.iter().enumerate() {
            let key_prefix = format!("destinations[{index}]");
            self.check_destination(group, &key_prefix);
            let unique = groups[..index].iter().all(|other| other.name != group.name);
            let remedy = "is the name of another group; choose a unique name";
            self.check(unique, &format!("{key_prefix}.name"), &group.name, remedy);
            self.check_service_time(&group.service_time, &format!("{key_prefix}.service"));
        }
        let total: u64 = groups.iter().map(|group| u64::from(group.count)).sum();
        let remedy = "all counts together must be at most 60000";
        self.check(total <= MAX_DESTINATIONS, "destinations", total, remedy);
    }

    fn check_destination(&mut self, group: &Destination, key_prefix: &str) {
        for (key, value) in [
            ("count", group.count),
            ("targets", group.endpoints),
            ("places", group.concurrency),
        ] {
            self.check(value > 0, &format!("{key_prefix}.{key}"), "0", AT_LEAST_ONE);
        }
        let remedy = "must be above 0 calls per second";
        self.check(
            is_positive(group.rate),
            &format!("{key_prefix}.rate"),
            group.rate,
            remedy,
        );
        let weight = group.weight;
        self.check(
            is_positive(weight),
            &format!("{key_prefix}.weight"),
            weight,
            ABOVE_ZERO,
        );
        let error_rate = group.error_rate;
        self.check(
            is_share(error_rate),
            &format!("{key_prefix}.errors"),
            error_rate,
            SHARE_RANGE,
        );
    }

    fn check_service_time(&mut self, time: &ServiceTime, key: &str) {
        match *time {
            ServiceTime::Bimodal { slow_share, .. } => {
                let remedy = "`slow_share` must be from 0 to 1";
                self.check(is_share(slow_share), key, slow_share, remedy);
            }
            ServiceTime::Lognormal { sigma, .. } => {
                self.check(is_positive(sigma), key, sigma, "`sigma` must be above 0");
            }
            ServiceTime::Constant { .. } | ServiceTime::Exponential { .. } => {}
        }
    }

    fn check_load(&mut self, scenario: &Scenario, load: &Load, key_prefix: &str) {
        let remedy = "must be above 0 messages per second";
        self.check(
            is_positive(load.rate),
            &format!("{key_prefix}.rate"),
            load.rate,
            remedy,
        );
        let skew_is_valid = load.skew >= 0.0 && load.skew.is_finite();
        self.check(
            skew_is_valid,
            &format!("{key_prefix}.skew"),
            load.skew,
            "must be at least 0",
        );
        let body_fits = load.body_bytes <= MAX_BODY_BYTES;
        let key = format!("{key_prefix}.body");
        self.check(
            body_fits,
            &key,
            load.body_bytes,
            "must be at most 65536 bytes",
        );
        self.check_load_names(scenario, load, key_prefix);
        self.check_shape(&load.shape, &format!("{key_prefix}.shape"));
    }

    fn check_load_names(&mut self, scenario: &Scenario, load: &Load, key_prefix: &str) {
        self.check_names(
            load.destinations.iter(),
            |name| scenario.has_destination(name),
            &format!("{key_prefix}.destinations"),
            "is not the name of a destination in this file",
        );
        self.check_names(
            load.classes.iter(),
            |name| scenario.classes.iter().any(|class| class.name == name),
            &format!("{key_prefix}.profiles"),
            "is not the name of a profile in this file",
        );
        self.check_names(
            load.tenant.iter(),
            |name| scenario.tenants.iter().any(|tenant| tenant.name == name),
            &format!("{key_prefix}.tenant"),
            "is not the name of a tenant in this file",
        );
    }

    fn check_shape(&mut self, shape: &Shape, key: &str) {
        match shape {
            Shape::Bursts { on, off, .. } => {
                let remedy = "`on` and `off` must not both be 0";
                self.check(on.0 + off.0 > 0, key, "0", remedy);
            }
            Shape::Day { day, .. } => self.check(day.0 > 0, key, "0", "`day` must be above 0"),
            _ => {}
        }
    }

    fn check_fault(&mut self, scenario: &Scenario, fault: &Fault, key_prefix: &str) {
        let scope_key = format!("{key_prefix}.on");
        self.check_names(
            fault.scope.destinations.iter(),
            |name| scenario.has_destination(name),
            &scope_key,
            "is not the name of a destination in this file",
        );
        let share = fault.scope.share;
        let shown_value = format!("{share:?}");
        self.check(
            share.is_none_or(is_share),
            &scope_key,
            shown_value,
            SHARE_RANGE,
        );
        self.check_fault_kind(&fault.kind, &format!("{key_prefix}.what"));
        let mut numbers = fault.scope.forwarders.iter();
        let unknown = numbers.find(|number| **number >= scenario.forwarders.count);
        let remedy = "is not the number of a forwarder; forwarders are numbered from 0";
        let shown_value = format!("{unknown:?}");
        self.check(unknown.is_none(), &scope_key, shown_value, remedy);
    }

    fn check_fault_kind(&mut self, kind: &FaultKind, key: &str) {
        let share = kind.share().unwrap_or(0.0);
        self.check(is_share(share), key, share, SHARE_RANGE);
        match *kind {
            FaultKind::Slow { times } | FaultKind::Jam { times } => {
                self.check(is_positive(times), key, times, "`times` must be above 0");
            }
            FaultKind::Flapping { down, up } => {
                let both_positive = down.0 > 0 && up.0 > 0;
                self.check(both_positive, key, "0", "`down` and `up` must be above 0");
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
