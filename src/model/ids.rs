//! Identifiers. Each has its own type, so that the compiler rejects one in place of another.

/// Identifies a message while the forwarder holds it. The number is reused after the message has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// Identifies an endpoint by its socket address and its incarnation at that address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId {
    /// IPv4 address, in network byte order.
    pub address: [u8; 4],
    /// TCP port.
    pub port: u16,
    /// Distinguishes endpoints that used the same address one after the other; 0 where the caller can't distinguish
    /// them.
    pub incarnation: u32,
}

/// Identifies a destination: a group of endpoints that share a queue and, unless
/// [`EndpointKindConfig::has_independent_limits`](super::EndpointKindConfig::has_independent_limits) is set, a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u32);

/// Index of a delivery class in [`Config::classes`](super::Config::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DeliveryClassId(pub u16);

/// Index of a kind of endpoint in [`Config::endpoint_kinds`](super::Config::endpoint_kinds); an index beyond the end
/// counts as the last kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKindId(pub u16);

/// Index of a zone in [`Config::zone_costs`](super::Config::zone_costs); a zone beyond the end costs nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Index of a tenant in [`Config::tenants`](super::Config::tenants); a tenant beyond the end has no quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// Order key. Messages of an ordered class with the same key are delivered one at a time, in the order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub u64);

/// Identifies a timer that the core set; [`Event::TimerFired`](super::Event::TimerFired) returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);
