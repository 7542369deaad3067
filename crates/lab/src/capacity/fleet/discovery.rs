//! Discovery as the forwarders ask it: each holds one watch open, which is answered when something has changed or its time
//! is over. A change is made at one place and is known to the machine that answers a forwarder after a drawn delay. Bytes
//! are those of the protocol's JSON and HTTP heads. The whole of it stands in the first region.

use super::layout::{forwarder_zone, region, Layout};
use super::network::{Network, Partition};
use crate::random::seeded_rng;
use opalpulley::{EndpointEntry, EndpointStatus, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;

/// From the making of a change until the machine that answers a forwarder has it.
const PROPAGATION_DELAY: Range<Micros> = 350_000..2_200_000;
/// How long a watch stays open where nothing changes; as the forwarder's program asks for.
const WATCH_TIMEOUT: Micros = 5_000_000;
/// Beyond that, how long the program waits for an answer.
const RESPONSE_GRACE: Micros = 2_000_000;
/// Between two tries of the program.
const RETRY_DELAY: Micros = 150_000;
/// Changes that are kept: whoever is further behind gets the whole list.
const MAX_RETAINED_CHANGES: usize = 256;

/// One change of configuration; its revision is its place among all, from 1 on.
pub struct ConfigChange {
    pub made_at: Micros,
    pub entries: Vec<EndpointEntry>,
    /// When it was in force, by forwarder.
    pub in_force_at: Vec<Option<Micros>>,
}

/// The watch of one forwarder.
#[derive(Clone, Default)]
struct Watch {
    /// The revision that its machine has.
    available_revision: usize,
    /// The revision that it has been told.
    sent_revision: usize,
    /// Counts its watches; what concerns an earlier one is void.
    sequence: u32,
    open: bool,
}

/// What discovery has to do later.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryEvent {
    /// The machine that answers this forwarder has all changes up to a revision.
    ChangeAvailable {
        forwarder: u32,
        revision: usize,
    },
    WatchOpens {
        forwarder: u32,
    },
    WatchTimesOut {
        forwarder: u32,
        sequence: u32,
    },
}

/// An answer on its way to a forwarder.
pub struct ListResponse {
    pub arrives_at: Micros,
    pub complete: bool,
    pub revision: usize,
    pub entries: Arc<Vec<EndpointEntry>>,
}

/// The list, its changes, and a watch for each forwarder.
pub struct Discovery {
    pub changes: Vec<ConfigChange>,
    watches: Vec<Watch>,
    /// Everything there is, one line a destination.
    current_entries: Vec<EndpointEntry>,
    rng: Pcg64Mcg,
}

impl Discovery {
    /// The list as it stands at the start.
    pub fn new(seed: u64, forwarders: u32, layout: &Layout) -> Discovery {
        let all = layout.destinations.iter().zip(0..);
        Discovery {
            changes: Vec::new(),
            watches: vec![Watch::default(); forwarders as usize],
            current_entries: all
                .map(|(d, n)| layout.list_entry(n, 0, d.rate, EndpointStatus::Ready))
                .collect(),
            rng: seeded_rng(seed, "discovery", 0),
        }
    }

    /// The whole list, as each forwarder gets it at its start.
    pub fn complete_list(&self) -> &[EndpointEntry] {
        &self.current_entries
    }

    /// When the first watch of each forwarder opens: they have not started together.
    pub fn initial_watches(&mut self) -> Vec<(Micros, DiscoveryEvent)> {
        let forwarders = 0..self.watches.len() as u32;
        forwarders
            .map(|forwarder| {
                (
                    self.rng.random_range(0..WATCH_TIMEOUT),
                    DiscoveryEvent::WatchOpens { forwarder },
                )
            })
            .collect()
    }

    /// A change is made; gives when it reaches whom.
    pub fn apply_change(
        &mut self,
        now: Micros,
        entries: Vec<EndpointEntry>,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        for entry in entries
            .iter()
            .filter(|l| l.status != EndpointStatus::Removed)
        {
            let index = super::layout::destination_of(entry.endpoint) as usize;
            self.current_entries[index] = entry.clone();
        }
        let in_force_at = vec![None; self.watches.len()];
        self.changes.push(ConfigChange {
            made_at: now,
            entries,
            in_force_at,
        });
        self.propagate(now, |_| true)
    }

    /// What stands now is on its way to those that a cut kept from it.
    pub fn propagate_after_partition(
        &mut self,
        now: Micros,
        healed: Partition,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        self.propagate(now, |forwarder| !is_reachable(healed, forwarder))
    }

    fn propagate(
        &mut self,
        now: Micros,
        includes: impl Fn(u32) -> bool,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        let revision = self.changes.len();
        let forwarders = (0..self.watches.len() as u32).filter(|f| includes(*f));
        let rng = &mut self.rng;
        forwarders
            .map(|forwarder| {
                let at = now + rng.random_range(PROPAGATION_DELAY);
                (
                    at,
                    DiscoveryEvent::ChangeAvailable {
                        forwarder,
                        revision,
                    },
                )
            })
            .collect()
    }

    /// A moment of discovery's has come: perhaps an answer goes to the forwarder, perhaps more is to be done later.
    pub fn handle(
        &mut self,
        now: Micros,
        event: DiscoveryEvent,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        match event {
            DiscoveryEvent::ChangeAvailable {
                forwarder,
                revision,
            } => {
                let watch = &mut self.watches[forwarder as usize];
                // A cut keeps the change from it: `heal` sends what stands then.
                if !is_reachable(network.partition, forwarder) {
                    return None;
                }
                watch.available_revision = watch.available_revision.max(revision);
                if !watch.open || watch.available_revision <= watch.sent_revision {
                    return None;
                }
                self.respond(now, forwarder, network, follow_ups)
            }
            DiscoveryEvent::WatchOpens { forwarder } => {
                self.open_watch(now, forwarder, network, follow_ups)
            }
            DiscoveryEvent::WatchTimesOut {
                forwarder,
                sequence,
            } => {
                let watch = &self.watches[forwarder as usize];
                if !watch.open || watch.sequence != sequence {
                    return None;
                }
                self.respond(now, forwarder, network, follow_ups)
            }
        }
    }

    /// A forwarder opens a watch: it is answered at once where there is something new, else it stays open.
    fn open_watch(
        &mut self,
        now: Micros,
        forwarder: u32,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        let watch = &mut self.watches[forwarder as usize];
        network.control[forwarder as usize]
            .list_out
            .add_http_message(request_bytes(watch.sent_revision));
        watch.sequence += 1;
        if !is_reachable(network.partition, forwarder) {
            let opens_again = now + WATCH_TIMEOUT + RESPONSE_GRACE + RETRY_DELAY;
            follow_ups.push((opens_again, DiscoveryEvent::WatchOpens { forwarder }));
            return None;
        }
        watch.open = true;
        if watch.available_revision > watch.sent_revision {
            return self.respond(now, forwarder, network, follow_ups);
        }
        let sequence = watch.sequence;
        let ends = DiscoveryEvent::WatchTimesOut {
            forwarder,
            sequence,
        };
        follow_ups.push((now + WATCH_TIMEOUT, ends));
        None
    }

    /// Answers the open watch with what is new, or with nothing.
    fn respond(
        &mut self,
        now: Micros,
        forwarder: u32,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        let watch = &mut self.watches[forwarder as usize];
        watch.open = false;
        let opens_again = DiscoveryEvent::WatchOpens { forwarder };
        if !is_reachable(network.partition, forwarder) {
            follow_ups.push((now + RESPONSE_GRACE + RETRY_DELAY, opens_again));
            return None;
        }
        let arrives_at = now + network.call_delay();
        follow_ups.push((arrives_at + network.call_delay(), opens_again));
        let (from, revision) = (watch.sent_revision, watch.available_revision);
        watch.sent_revision = revision;
        let complete = revision - from > MAX_RETAINED_CHANGES;
        let entries = match complete {
            true => self.current_entries.clone(),
            false => self.entries_between(from, revision),
        };
        network.control[forwarder as usize]
            .list_in
            .add_http_message(response_bytes(revision, complete, &entries));
        let response = ListResponse {
            arrives_at,
            complete,
            revision,
            entries: Arc::new(entries),
        };
        (revision > from).then_some((forwarder, response))
    }

    fn entries_between(&self, from: usize, revision: usize) -> Vec<EndpointEntry> {
        let changes = self.changes[from..revision].iter();
        changes.flat_map(|change| change.entries.clone()).collect()
    }

    /// All changes up to a revision are in force at a forwarder.
    pub fn mark_in_force(&mut self, now: Micros, forwarder: u32, revision: usize) {
        for change in self.changes[..revision].iter_mut().rev() {
            let at = &mut change.in_force_at[forwarder as usize];
            if at.is_some() {
                return;
            }
            *at = Some(now);
        }
    }
}

/// Whether discovery reaches a forwarder.
fn is_reachable(partition: Partition, forwarder: u32) -> bool {
    match partition {
        Partition::None => true,
        Partition::Zone(zone) => forwarder_zone(forwarder) != zone,
        Partition::Regions => region(forwarder_zone(forwarder)) == 0,
    }
}

/// Bytes of the request for what comes after a revision.
fn request_bytes(sent_revision: usize) -> u64 {
    let wait = WATCH_TIMEOUT / 1_000;
    let head = format!(
        "GET /discovery/hosts?index={sent_revision}&wait={wait} HTTP/1.1\r\nhost: 10.255.0.1:8500\r\n\r\n"
    );
    head.len() as u64
}

/// Bytes of an answer, head and body.
pub fn response_bytes(revision: usize, complete: bool, entries: &[EndpointEntry]) -> u64 {
    let frame = json!({"revision": revision, "complete": complete, "members": []})
        .to_string()
        .len();
    let members: usize = entries.iter().map(|l| member_json(l).len() + 1).sum();
    let body = frame + members.saturating_sub(1);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body}\r\n\r\n"
    );
    (head.len() + body) as u64
}

/// A line of the list in the protocol's JSON.
fn member_json(entry: &EndpointEntry) -> String {
    let destination = super::layout::destination_of(entry.endpoint);
    let phase = match entry.status {
        EndpointStatus::Ready => "Ready",
        EndpointStatus::Draining => "Terminating",
        EndpointStatus::Removed => "Gone",
    };
    let address = SocketAddrV4::new(Ipv4Addr::from(entry.endpoint.address), entry.endpoint.port);
    json!({"id": format!("t{destination}-{}", entry.endpoint.incarnation), "host_port": address.to_string(),
        "locality": format!("zone-{}", entry.zone.0), "flavor": "partner", "cell": destination,
        "phase": phase, "size": entry.rate, "up_since_ms": 0})
    .to_string()
}
