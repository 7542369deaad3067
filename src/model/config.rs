//! What a forwarder is told at its start.

use super::Micros;

/// Whether an attempt at a message may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// May take effect any number of times.
    Idempotent,
    /// Carries an idempotency key, by which the endpoints of the scope drop a repeat that begins within the window.
    IdempotencyKeyed {
        /// The endpoints that know each other's keys.
        scope: DeduplicationScope,
        /// Counted from the start of the first attempt that may have taken effect.
        window: Micros,
    },
    /// Must not take effect twice: not repeated once an attempt may have taken effect.
    #[default]
    AtMostOnce,
}

/// Endpoints that drop each other's repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    AllEndpoints,
    /// Those of the same zone.
    Zone,
    /// Those of the same destination. The settings can name it (`cell`); no deployment does.
    Destination,
}

/// How the priority weight of a message falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityDecay {
    /// Linearly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, not under the late share.
    Exponential,
}

/// What messages of one delivery class have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeliveryClassConfig {
    /// Whether an attempt may be repeated.
    pub semantics: DeliverySemantics,
    /// Delivered within this time a message counts in full.
    pub latency_objective: Micros,
    /// From its submission to its deadline.
    pub time_to_live: Micros,
    /// What its delivery counts, relative to other messages.
    pub priority_weight: f64,
    /// Part of the weight that a late delivery counts at least, between 0 and 1.
    pub late_weight_share: f64,
    /// Whether messages of one key are delivered one at a time, in the order of submission.
    pub ordered: bool,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Messages per second within its quota, for the whole fleet.
    pub quota: f64,
}

/// One kind of endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointKindConfig {
    /// Each endpoint of a destination has its own limit, pace and outages.
    pub independent_limits: bool,
    /// Messages in one call at most.
    pub batch_size: u32,
}

/// What the rates of the endpoint list are good for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// The list names none.
    #[default]
    Unlisted,
    /// As agreed with the destination.
    Nominal,
    /// Up to half too high or too low.
    Approximate,
}

/// The figures of the operators' service rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleConfig {
    /// How much later than its deadline the final answer to a message may come.
    pub answer_slack: Micros,
    /// After this time nothing may be sent to an endpoint that drains or has left.
    pub drain_grace: Micros,
    /// Part of its capacity that a destination has as it returns from an outage, between 0 and 1.
    pub cold_capacity_share: f64,
    /// From its return until it has its whole capacity.
    pub warm_up_time: Micros,
    /// A returning destination falls over at this multiple of what it can take at the moment.
    pub overload_multiple: f64,
    /// For how long it must be overloaded to fall over.
    pub overload_window: Micros,
    /// After an attempt with an unknown outcome, the pause until the next message of its key.
    pub order_settle_time: Micros,
}

/// When the next message of an order key may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderRelease {
    /// With the final answer: whoever carries out the actions keeps their order.
    #[default]
    OnDecision,
    /// With [`Event::ReportAcknowledged`](super::Event::ReportAcknowledged): an answer and a call travel apart, and
    /// the call may overtake.
    OnAcknowledgement,
}

/// What a forwarder is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The number of this forwarder in the fleet.
    pub forwarder: u16,
    /// How many forwarders there are.
    pub fleet_size: u32,
    /// Calls out at once at most: the number of concurrency permits.
    pub concurrency_limit: u32,
    /// Messages held at once at most.
    pub message_capacity: u32,
    /// Attempts at a message at most, those of previous runs included.
    pub max_attempts: u32,
    /// When the next message of an order key may be sent.
    pub order_release: OrderRelease,
    /// Whether health checks may be sent.
    pub may_health_check: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a rejection may name a retry-after.
    pub may_send_retry_after: bool,
    /// Whether forwarders may send each other datagrams.
    pub may_gossip: bool,
    /// The longest retry-after that clients honour.
    pub max_retry_after: Micros,
    /// What the rates of the endpoint list are good for.
    pub listed_rates: ListedRates,
    /// How priority weights fall after the latency objective.
    pub priority_decay: PriorityDecay,
    /// Part of the weight that a message beyond its tenant's quota counts.
    pub over_quota_weight: f64,
    /// The delivery classes.
    pub classes: Vec<DeliveryClassConfig>,
    /// The tenants.
    pub tenants: Vec<TenantConfig>,
    /// The kinds of endpoints.
    pub endpoint_kinds: Vec<EndpointKindConfig>,
    /// For each zone, what a message to an endpoint with a limit of its own there costs.
    pub zone_costs: Vec<f64>,
    /// Where discovery must be polled: the interval in which the rules want a poll. None: lists are pushed.
    pub poll_interval: Option<Micros>,
    /// Where discovery must be polled: how long after a change, and discovery being in reach, the forwarder counts as
    /// notified, whether it is or not. None: only the interval counts.
    pub notified_within: Option<Micros>,
    /// The figures of the service rules.
    pub rules: RuleConfig,
    /// The shortest time between two ticks of the core's timers. Scheduling rounds run after every
    /// event.
    pub scheduling_interval: Micros,
    /// Destinations whose state is held in full before idle ones are summarised. None: all, always.
    pub full_destinations: Option<u32>,
}

impl Config {
    /// The shortest latency objective of all delivery classes.
    pub fn shortest_latency_objective(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(0)
    }

    /// The longest time to live of all delivery classes.
    pub fn longest_time_to_live(&self) -> Micros {
        let lives = self.classes.iter().map(|class| class.time_to_live);
        lives.max().unwrap_or(0)
    }
}
