//! Identifiers. Each is a number of its own type, so that one can't be passed for another.

/// One message, as long as the forwarder holds it. Numbers are given anew once a message is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// One endpoint: where it listens, and which of the endpoints that listened there in turn it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId {
    /// IPv4 address, in network order.
    pub address: [u8; 4],
    /// TCP port.
    pub port: u16,
    /// Tells endpoints apart that used the same address one after the other; 0 where the caller can't tell.
    pub incarnation: u32,
}

/// A group of endpoints that share a queue and a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u32);

/// Index into [`Config::classes`](super::Config::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DeliveryClassId(pub u16);

/// Index into [`Config::endpoint_kinds`](super::Config::endpoint_kinds).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKindId(pub u16);

/// Index into [`Config::zone_costs`](super::Config::zone_costs).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Index into [`Config::tenants`](super::Config::tenants); a number beyond them has no quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// Messages of an ordered class with the same key are delivered one at a time, in the order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub u64);

/// Names a timer that the core has set; it comes back with [`Event::TimerFired`](super::Event::TimerFired).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);
