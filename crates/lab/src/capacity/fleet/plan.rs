//! The plan of a fleet run, and the parameters that all runs share.

use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, Micros, OrderRelease, PriorityDecay, ServiceRuleConfig,
};
use serde::Serialize;

/// One second, in µs.
pub const SECOND: Micros = 1_000_000;
/// Number of zones over both regions, as in the deployment whose capacity is planned.
pub const ZONE_COUNT: u16 = 8;
/// Number of consecutive zones that form one region.
pub const ZONES_PER_REGION: u16 = 4;
/// Latency target: time from the arrival of a message within which it should be delivered, in µs.
pub const LATENCY_TARGET: Micros = 2_500_000;
/// Time from the arrival of a message to its deadline, in µs.
const DEADLINE: Micros = 28_000_000;
/// Upper bound on the calls in flight at a forwarder: the number of connections to endpoints that a limit of 256 file
/// descriptors allows.
const CONCURRENCY_LIMIT: u32 = 116;
/// Upper bound on the messages that a forwarder holds.
const MAX_MESSAGES: u32 = 4_000;
const MAX_ATTEMPTS: u32 = 6;
/// Upper bound on the number of destinations, because three bytes of an endpoint's address encode the destination.
const MAX_DESTINATIONS: u32 = 1 << 24;

/// An event that concerns the whole fleet. It begins after a quarter of the run; a partition ends at half of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Incident {
    #[default]
    None,
    /// One zone is isolated: an eighth of the forwarders and destinations. Its destinations are cold when the partition
    /// heals.
    ZoneCut,
    /// The two regions are separated: calls and gossip between them are lost, and the second region has no discovery, which
    /// runs in the first.
    RegionCut,
    /// One change of configuration in addition to the random ones.
    Change,
}

/// Number of destinations that a forwarder holds in full before it holds idle ones as summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FullDestinations {
    /// Holds all destinations in full.
    All,
    /// Holds idle destinations beyond this number as summaries.
    Beyond(u32),
}

impl FullDestinations {
    /// Returns the value of [`Config::full_destinations`]: `None` for no limit.
    pub fn limit(self) -> Option<u32> {
        match self {
            FullDestinations::All => None,
            FullDestinations::Beyond(full) => Some(full),
        }
    }
}

impl std::fmt::Display for FullDestinations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FullDestinations::All => f.write_str("all"),
            FullDestinations::Beyond(full) => full.fmt(f),
        }
    }
}

impl std::str::FromStr for FullDestinations {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<FullDestinations, Self::Err> {
        match text {
            "all" => Ok(FullDestinations::All),
            number => number.parse().map(FullDestinations::Beyond),
        }
    }
}

/// The parameters of a run. The same plan gives the same counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Number of forwarders, from 2 to the number of forwarder ids.
    pub forwarders: u32,
    /// Number of destinations, from 1 to the number of endpoint addresses.
    pub destinations: u32,
    /// Simulated duration of the run, in s; at least 4.
    pub seconds: u32,
    /// Messages per second that clients submit to the whole fleet.
    pub events_a_second: f64,
    /// Mean share of the destinations that is down at any time, 0 to 0.9.
    pub down_share: f64,
    /// Mean duration of an outage, in s.
    pub outage_seconds: f64,
    /// Share of the destinations whose rate is lower than the rate of the messages to them, 0 to 0.9.
    pub at_limit_share: f64,
    /// Exponent of the Zipf distribution of the messages over the destinations, 0 to 3.
    pub skew: f64,
    /// Mean number of random changes of configuration in a simulated day; 0 for none.
    pub changes_a_day: f64,
    pub incident: Incident,
    /// Seed of all random streams of the run.
    pub seed: u64,
    pub full_destinations: FullDestinations,
    /// Fleet size in the forwarders' configuration, if it differs from the true one. A wrong size checks that the
    /// measurement detects overload.
    pub configured_forwarders: Option<u32>,
}

/// The reason why a plan is invalid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanError {
    /// There are no destinations, or more than there are endpoint addresses.
    Destinations { requested: u32 },
    /// There are fewer than two forwarders, or more than there are forwarder ids.
    Forwarders { requested: u32 },
    /// The value of another option is out of range: a share outside 0 to 0.9, a skew outside 0 to 3, a run shorter than 4 s,
    /// a rate or duration that is not positive and finite, or a negative number of changes.
    OutOfRange { option: &'static str, value: f64 },
}

impl std::fmt::Display for PlanError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PlanError::Destinations { requested } => {
                write!(
                    f,
                    "--destinations must be 1 to {MAX_DESTINATIONS}, got {requested}"
                )
            }
            PlanError::Forwarders { requested } => {
                write!(f, "--forwarders must be 2 to {}, got {requested}", u16::MAX)
            }
            PlanError::OutOfRange { option, value } => {
                write!(f, "{option} {value} is out of range")
            }
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Checks the plan. Returns an error that names the first option that is out of range.
    pub fn check(&self) -> Result<(), PlanError> {
        if !(1..=MAX_DESTINATIONS).contains(&self.destinations) {
            return Err(PlanError::Destinations {
                requested: self.destinations,
            });
        }
        if !(2..=u32::from(u16::MAX)).contains(&self.forwarders) {
            return Err(PlanError::Forwarders {
                requested: self.forwarders,
            });
        }
        let is_share = |value: f64| (0.0..=0.9).contains(&value);
        let is_positive = |value: f64| value > 0.0 && value.is_finite();
        let checks = [
            ("--seconds", f64::from(self.seconds), self.seconds >= 4),
            (
                "--events-a-second",
                self.events_a_second,
                is_positive(self.events_a_second),
            ),
            ("--down-share", self.down_share, is_share(self.down_share)),
            (
                "--outage-seconds",
                self.outage_seconds,
                is_positive(self.outage_seconds),
            ),
            (
                "--at-limit-share",
                self.at_limit_share,
                is_share(self.at_limit_share),
            ),
            ("--skew", self.skew, (0.0..=3.0).contains(&self.skew)),
            (
                "--changes-a-day",
                self.changes_a_day,
                self.changes_a_day >= 0.0,
            ),
        ];
        match checks.into_iter().find(|(_, _, is_valid)| !is_valid) {
            Some((option, value, _)) => Err(PlanError::OutOfRange { option, value }),
            None => Ok(()),
        }
    }

    /// Returns the simulated time at which the run ends, in µs.
    pub fn end(&self) -> Micros {
        Micros::from(self.seconds) * SECOND
    }

    /// Returns the simulated times at which the incident begins and ends, in µs.
    pub fn incident_span(&self) -> (Micros, Micros) {
        (self.end() / 4, self.end() / 2)
    }

    /// Returns the simulated time, in µs, from which on arriving messages count towards the share delivered on time. Earlier
    /// messages meet forwarders that have only just started.
    pub fn measured_from(&self) -> Micros {
        (10 * SECOND).min(self.end() / 4)
    }

    /// Returns the simulated time, in µs, until which arriving messages count towards the share delivered on time. The
    /// latency target of later messages may end after the run.
    pub fn measured_until(&self) -> Micros {
        self.end().saturating_sub(LATENCY_TARGET + SECOND / 2)
    }

    /// Returns the configuration of one forwarder: that of a deployment that delivers to outside receivers.
    pub fn forwarder_config(&self, forwarder: u32) -> Config {
        let class = |semantics| DeliveryClassConfig {
            semantics,
            latency_objective: LATENCY_TARGET,
            time_to_live: DEADLINE,
            priority_weight: 1.0,
            late_weight_share: 0.5,
            ordered: false,
        };
        let keyed = DeliverySemantics::IdempotencyKeyed {
            scope: DeduplicationScope::AllEndpoints,
            window: 15 * SECOND,
        };
        Config {
            forwarder_id: forwarder as u16,
            fleet_size: self.configured_forwarders.unwrap_or(self.forwarders),
            concurrency_limit: CONCURRENCY_LIMIT,
            max_messages: MAX_MESSAGES,
            max_attempts: MAX_ATTEMPTS,
            order_release: OrderRelease::OnFinalAnswer,
            may_health_check: true,
            may_cancel: true,
            may_send_retry_after: true,
            may_gossip: true,
            max_retry_after: 2 * SECOND,
            listed_rate_accuracy: ListedRateAccuracy::Nominal,
            priority_decay: PriorityDecay::Exponential,
            over_quota_weight_share: 0.1,
            classes: vec![class(keyed), class(DeliverySemantics::Idempotent)],
            tenants: Vec::new(),
            endpoint_kinds: vec![EndpointKindConfig {
                has_independent_limits: false,
                max_batch_size: 1,
            }],
            zone_costs: vec![0.0; usize::from(ZONE_COUNT)],
            list_poll_interval: None,
            rules: rules(),
            min_tick_interval: 5_000,
            full_destinations: self.full_destinations.limit(),
            list_notification_delay: None,
        }
    }
}

/// Returns the parameters of the service rules, which configure the forwarders and by which the load on receivers is judged.
pub fn rules() -> ServiceRuleConfig {
    ServiceRuleConfig {
        answer_slack: 20_000,
        drain_grace: SECOND,
        cold_capacity_share: 0.25,
        warm_up_time: 11 * SECOND,
        overload_multiple: 2.0,
        overload_window: 2 * SECOND,
        order_settle_time: 300_000,
    }
}
