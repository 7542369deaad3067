//! What goes into the rules and what comes out: plain data, no decisions. Times are whole microseconds.

pub type Micros = u64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PacketId(pub u32);

/// Four bytes of address and a port, as the front end names the target, and which of those that had this address in
/// turn it is, where the front end can tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId {
    pub address: [u8; 4],
    pub port: u16,
    pub holder: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProfileId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub target: TargetId,
    pub zone: ZoneId,
    pub since: Micros,
    pub standing: Standing,
    /// Calls a second that the destination takes from all forwarders together, as far as the list knows.
    pub rate: f32,
    pub destination: DestinationId,
    pub kind: KindId,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ListNews {
    /// Only what changed.
    Changes(Vec<Listing>),
    /// Everything there is; what is missing is gone.
    Whole(Vec<Listing>),
    /// Everything as last held, perhaps outdated.
    Cached(Vec<Listing>),
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub id: PacketId,
    pub profile: ProfileId,
    pub tenant: TenantId,
    pub key: Option<OrderKey>,
    /// How long the packet may still be delivered.
    pub left: Micros,
    pub hint: Option<Micros>,
    pub destination: DestinationId,
    pub again: bool,
    pub write: bool,
    pub orphan: bool,
    /// What an earlier life of the forwarder did for it.
    pub past: Past,
}

/// What has happened to a packet before it comes, where the forwarder held it in an earlier life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Past {
    pub trips: u32,
    /// The earliest trip that may have run: when it was sent, and in which zone.
    pub exposed: Option<(Micros, ZoneId)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Delivered,
    /// The destination answered with an error.
    Error,
    /// Turned away unseen, with the wait it asked for.
    Full {
        wait: Option<Micros>,
    },
    Timeout,
    NoConnection,
    /// The connection broke while the trip was out.
    Reset,
    CalledOff,
    /// Taken back before its last byte went: it has surely not run, and the trip counts for nothing.
    TakenBack,
    /// Not sent at all.
    Moot {
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether this outcome leaves open that the packet took effect.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Outcome::Delivered
                | Outcome::Error
                | Outcome::Timeout
                | Outcome::Reset
                | Outcome::CalledOff
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List(ListNews),
    Packet(Arrival),
    /// A streamed answer has begun.
    TripBegun {
        id: PacketId,
        trip: u8,
        target: TargetId,
        took: Micros,
    },
    TripEnded {
        id: PacketId,
        trip: u8,
        target: TargetId,
        outcome: Outcome,
        took: Micros,
        /// The packet is over and needs no further answer.
        closed: bool,
        report: Vec<f32>,
    },
    /// An answer tells a wait, µs. How its trip or probe ended comes later, perhaps as something else.
    WaitTold {
        target: TargetId,
        wait: Micros,
    },
    /// Nobody wants the packet any more.
    Withdrawn {
        id: PacketId,
    },
    /// The end given to a packet has been heard: told where [`Ends::WhenHeard`] holds.
    Heard {
        id: PacketId,
    },
    /// A completion report of a previous run that is not acknowledged yet; packets of its key come after it. `Heard` has this id.
    PendingReport {
        id: PacketId,
        profile: ProfileId,
        key: OrderKey,
    },
    Alarm {
        token: Token,
    },
    Gossip {
        from: u16,
        message: Vec<u8>,
    },
    ProbeAnswered {
        target: TargetId,
        outcome: Outcome,
        took: Micros,
        report: Vec<f32>,
    },
    /// The forwarder ends soon: nothing new is to be sent.
    Closing,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the packet on its next trip; `limit` is its time-out in µs, none for as long as the packet lives. A trip that
    /// has put no byte on a connection by the time `begin_by` puts none there at all: it ends as `Outcome::Moot`.
    Send {
        id: PacketId,
        target: TargetId,
        limit: Option<Micros>,
        begin_by: Micros,
    },
    WriteOff {
        id: PacketId,
    },
    Defer {
        id: PacketId,
        come_back: Option<Micros>,
    },
    Wake {
        after: Micros,
        token: Token,
    },
    Probe {
        target: TargetId,
    },
    CallOff {
        id: PacketId,
        trip: u8,
    },
    /// Calls and probes to it whose last byte has not gone go no further: each ends as `Outcome::TakenBack`. Those that
    /// have gone whole run on.
    TakeBack {
        target: TargetId,
    },
    CloseIdle {
        target: TargetId,
    },
    Watch {
        on: bool,
    },
    FetchList,
    SendGossip {
        peer: Option<u16>,
        message: Vec<u8>,
    },
    Log(String),
    Fault(String),
}

/// Whether a packet of a profile may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May run again.
    Retriable,
    /// Carries a mark by which the targets of the group know a repeat, for so long.
    Fingerprinted { group: RepeatGroup, window: Micros },
    /// Must never run twice.
    #[default]
    Binding,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All targets of the destination.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one destination; a deferral is not allowed then.
    Destination,
}

/// How worth falls after the contract time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fading {
    /// Evenly, down to the late share at expiry.
    #[default]
    Evenly,
    /// By half with each further contract time, not under the late share.
    Halving,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProfileConfig {
    pub effect: Effect,
    pub contract_time: Micros,
    pub expiry: Micros,
    pub importance: f64,
    pub late_share: f64,
    pub in_order: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Packets a second within its share, for all forwarders together.
    pub quota: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct KindConfig {
    /// Targets of one destination are routes apart, each with its own limit, pace and outages.
    pub routes_apart: bool,
    /// Packets in one call at most.
    pub per_call: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRates {
    #[default]
    Untold,
    Nominal,
    /// Up to half too high or too low.
    Rough,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleConfig {
    pub answer_slack: Micros,
    pub drain_grace: Micros,
    pub cold_from: f64,
    pub warm_after: Micros,
    pub fall_multiple: f64,
    pub overload_for: Micros,
    pub order_pause: Micros,
}

/// From when on the end given to a packet counts for those of its key that come after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ends {
    /// From the action on: whoever carries the actions out hands them over in their order.
    #[default]
    AtOnce,
    /// From [`Event::Heard`] on: an end and a call travel apart, and the call may overtake.
    WhenHeard,
}

/// What a forwarder is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub forwarder: u16,
    pub forwarders: u32,
    /// Calls out at once.
    pub slots: u32,
    /// Packets held at once.
    pub room: u32,
    pub max_trips: u32,
    pub ends: Ends,
    pub may_probe: bool,
    pub may_call_off: bool,
    pub may_say_when: bool,
    /// Forwarders may send each other gossip messages.
    pub may_gossip: bool,
    /// The longest return time that clients follow.
    pub longest_return: Micros,
    pub list_rates: ListRates,
    pub fading: Fading,
    pub over_share_worth: f64,
    pub profiles: Vec<ProfileConfig>,
    pub tenants: Vec<TenantConfig>,
    pub kinds: Vec<KindConfig>,
    /// For each zone, the fee of a packet that a route apart there takes on.
    pub zone_fees: Vec<f64>,
    /// Where the list must be asked for: the interval in which the rules want a call. None: it comes by itself.
    pub ask_within: Option<Micros>,
    /// Where the list must be asked for: how long after discovery had news and could be reached they count as told, heard
    /// or not. None: only the interval above holds.
    pub told_within: Option<Micros>,
    pub rules: RuleConfig,
    /// The shortest time between two rounds.
    pub round: Micros,
    /// Destinations whose state is held in full before idle ones are held as summaries. None: all, always.
    pub full_destinations: Option<u32>,
}
