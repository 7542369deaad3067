//! What a fleet run is asked to do, and the fixed figures that all runs share.

use opalpulley::{
    Config, DeduplicationScope, DeliveryClassConfig, DeliverySemantics, EndpointKindConfig,
    ListedRateAccuracy, Micros, OrderRelease, PriorityDecay, ServiceRuleConfig,
};
use serde::Serialize;

/// A second, µs.
pub const SECOND: Micros = 1_000_000;
/// Regions x zones of the deployment that is sized.
pub const ZONE_COUNT: u16 = 8;
/// Zones of each region.
pub const ZONES_PER_REGION: u16 = 4;
/// Time from the arrival of a message to the end of its latency target.
pub const LATENCY_TARGET: Micros = 2_500_000;
/// Time from the arrival of a message to its deadline.
const DEADLINE: Micros = 28_000_000;
/// Calls out at once: what 256 descriptors leave for targets.
const CONCURRENCY_LIMIT: u32 = 116;
/// Messages held at once.
const MAX_MESSAGES: u32 = 4_000;
const MAX_ATTEMPTS: u32 = 6;
/// Three bytes of an address name the destination.
const MAX_DESTINATIONS: u32 = 1 << 24;

/// Something that happens to the whole fleet a quarter into the run and, where it lasts, ends at half of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Incident {
    #[default]
    None,
    /// One zone is gone: an eighth of the forwarders and destinations. Its destinations come back cold.
    ZoneCut,
    /// The two regions lose each other: calls, gossip and discovery (which stands in the first) do not pass.
    RegionCut,
    /// One change of configuration beside those that are drawn.
    Change,
}

/// How many destinations a forwarder holds in full before it holds idle ones as summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FullDestinations {
    All,
    Beyond(u32),
}

impl FullDestinations {
    /// As the settings of a forwarder have it.
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

/// What a run is asked to do. The same plan gives the same counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub forwarders: u32,
    pub destinations: u32,
    /// Simulated time.
    pub seconds: u32,
    /// Messages a second that the whole fleet takes.
    pub events_a_second: f64,
    /// Part of the destinations that is down at any time.
    pub down_share: f64,
    /// Mean length of an outage, seconds.
    pub outage_seconds: f64,
    /// Part of the destinations whose rate is under what is sent to them.
    pub at_limit_share: f64,
    /// Exponent of Zipf's law over the destinations.
    pub skew: f64,
    /// Changes of configuration, a day.
    pub changes_a_day: f64,
    pub incident: Incident,
    pub seed: u64,
    pub full_destinations: FullDestinations,
    /// The number of forwarders that the settings name, where it is to be wrong: a check of the measurement.
    pub configured_forwarders: Option<u32>,
}

/// Why a plan can't be run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanError {
    /// None, or more than addresses.
    Destinations { requested: u32 },
    /// More forwarders than numbers, or fewer than two.
    Forwarders { requested: u32 },
    /// A share outside 0 to 1, or a rate or time that is not positive.
    OutOfRange { option: &'static str, value: f64 },
}

impl std::fmt::Display for PlanError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PlanError::Destinations { requested } => {
                write!(
                    f,
                    "--destinations {requested}: 1 to {MAX_DESTINATIONS} can run"
                )
            }
            PlanError::Forwarders { requested } => {
                write!(f, "--forwarders {requested}: 2 to {} can run", u16::MAX)
            }
            PlanError::OutOfRange { option, value } => {
                write!(f, "{option} {value} is out of range")
            }
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Whether the plan can be run.
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

    /// When the run ends, µs.
    pub fn end(&self) -> Micros {
        Micros::from(self.seconds) * SECOND
    }

    /// When the incident begins and ends.
    pub fn incident_span(&self) -> (Micros, Micros) {
        (self.end() / 4, self.end() / 2)
    }

    /// Messages that arrive earlier meet forwarders that have only begun.
    pub fn measured_from(&self) -> Micros {
        (10 * SECOND).min(self.end() / 4)
    }

    /// Messages that arrive later have not had their whole latency target before the end.
    pub fn measured_until(&self) -> Micros {
        self.end().saturating_sub(LATENCY_TARGET + SECOND / 2)
    }

    /// The settings of one forwarder: those of a deployment that delivers to outside receivers.
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

/// The figures of the rules, as forwarders are told them and as receivers are judged by them.
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
