//! Discovery as the forwarders ask it: each holds one watch open, which is answered when something has changed or its time
//! is over. A change is made at one place and is known to the machine that answers a forwarder after a drawn delay. Bytes
//! are those of the protocol's JSON and HTTP heads. The whole of it stands in the first region.

use super::layout::{forwarder_zone, region, Layout};
use super::wire::{Cut, Wire};
use crate::random::seeded_rng;
use opalpulley::{EndpointEntry, EndpointStatus, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;

/// From the making of a change until the machine that answers a forwarder has it.
const SPREAD: Range<Micros> = 350_000..2_200_000;
/// How long a watch stays open where nothing changes; as the forwarder's program asks for.
const WATCH: Micros = 5_000_000;
/// Beyond that, how long the program waits for an answer.
const ANSWER_TIMEOUT: Micros = 2_000_000;
/// Between two tries of the program.
const AGAIN: Micros = 150_000;
/// Changes that are kept: whoever is further behind gets the whole list.
const CHANGES_KEPT: usize = 256;

/// One change of configuration; its revision is its place among all, from 1 on.
pub struct ConfigChange {
    pub made: Micros,
    pub listings: Vec<EndpointEntry>,
    /// When it was in force, by forwarder.
    pub in_force: Vec<Option<Micros>>,
}

/// The watch of one forwarder.
#[derive(Clone, Default)]
struct Watch {
    /// The revision that its machine has.
    known: usize,
    /// The revision that it has been told.
    told: usize,
    /// Counts its watches; what concerns an earlier one is void.
    number: u32,
    open: bool,
}

/// What discovery has to do later.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryEvent {
    /// The machine that answers this forwarder has all changes up to a revision.
    ChangeReaches {
        forwarder: u32,
        revision: usize,
    },
    WatchOpens {
        forwarder: u32,
    },
    WatchEnds {
        forwarder: u32,
        number: u32,
    },
}

/// An answer on its way to a forwarder.
pub struct ListAnswer {
    pub arrives: Micros,
    pub whole: bool,
    pub revision: usize,
    pub listings: Arc<Vec<EndpointEntry>>,
}

/// The list, its changes, and a watch for each forwarder.
pub struct Discovery {
    pub changes: Vec<ConfigChange>,
    watches: Vec<Watch>,
    /// Everything there is, one line a destination.
    current: Vec<EndpointEntry>,
    rng: Pcg64Mcg,
}

impl Discovery {
    /// The list as it stands at the start.
    pub fn new(seed: u64, forwarders: u32, layout: &Layout) -> Discovery {
        let all = layout.destinations.iter().zip(0..);
        Discovery {
            changes: Vec::new(),
            watches: vec![Watch::default(); forwarders as usize],
            current: all
                .map(|(d, n)| layout.listing(n, 0, d.rate, EndpointStatus::Ready))
                .collect(),
            rng: seeded_rng(seed, "discovery", 0),
        }
    }

    /// The whole list, as each forwarder gets it at its start.
    pub fn whole_list(&self) -> &[EndpointEntry] {
        &self.current
    }

    /// When the first watch of each forwarder opens: they have not started together.
    pub fn first_watches(&mut self) -> Vec<(Micros, DiscoveryEvent)> {
        let forwarders = 0..self.watches.len() as u32;
        forwarders
            .map(|forwarder| {
                (
                    self.rng.random_range(0..WATCH),
                    DiscoveryEvent::WatchOpens { forwarder },
                )
            })
            .collect()
    }

    /// A change is made; gives when it reaches whom.
    pub fn change(
        &mut self,
        now: Micros,
        listings: Vec<EndpointEntry>,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        for listing in listings
            .iter()
            .filter(|l| l.status != EndpointStatus::Removed)
        {
            let place = super::layout::destination_of(listing.endpoint) as usize;
            self.current[place] = listing.clone();
        }
        let in_force = vec![None; self.watches.len()];
        self.changes.push(ConfigChange {
            made: now,
            listings,
            in_force,
        });
        self.spread(now, |_| true)
    }

    /// What stands now is on its way to those that a cut kept from it.
    pub fn heal(&mut self, now: Micros, was: Cut) -> Vec<(Micros, DiscoveryEvent)> {
        self.spread(now, |forwarder| !reaches(was, forwarder))
    }

    fn spread(&mut self, now: Micros, to: impl Fn(u32) -> bool) -> Vec<(Micros, DiscoveryEvent)> {
        let revision = self.changes.len();
        let forwarders = (0..self.watches.len() as u32).filter(|f| to(*f));
        let rng = &mut self.rng;
        forwarders
            .map(|forwarder| {
                let at = now + rng.random_range(SPREAD);
                (
                    at,
                    DiscoveryEvent::ChangeReaches {
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
        wire: &mut Wire,
        later: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListAnswer)> {
        match event {
            DiscoveryEvent::ChangeReaches {
                forwarder,
                revision,
            } => {
                let watch = &mut self.watches[forwarder as usize];
                // A cut keeps the change from it: `heal` sends what stands then.
                if !reaches(wire.cut, forwarder) {
                    return None;
                }
                watch.known = watch.known.max(revision);
                if !watch.open || watch.known <= watch.told {
                    return None;
                }
                self.answer(now, forwarder, wire, later)
            }
            DiscoveryEvent::WatchOpens { forwarder } => {
                self.watch_opens(now, forwarder, wire, later)
            }
            DiscoveryEvent::WatchEnds { forwarder, number } => {
                let watch = &self.watches[forwarder as usize];
                if !watch.open || watch.number != number {
                    return None;
                }
                self.answer(now, forwarder, wire, later)
            }
        }
    }

    /// A forwarder opens a watch: it is answered at once where there is something new, else it stays open.
    fn watch_opens(
        &mut self,
        now: Micros,
        forwarder: u32,
        wire: &mut Wire,
        later: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListAnswer)> {
        let watch = &mut self.watches[forwarder as usize];
        wire.control[forwarder as usize]
            .list_out
            .http(request(watch.told));
        watch.number += 1;
        if !reaches(wire.cut, forwarder) {
            let opens_again = now + WATCH + ANSWER_TIMEOUT + AGAIN;
            later.push((opens_again, DiscoveryEvent::WatchOpens { forwarder }));
            return None;
        }
        watch.open = true;
        if watch.known > watch.told {
            return self.answer(now, forwarder, wire, later);
        }
        let number = watch.number;
        let ends = DiscoveryEvent::WatchEnds { forwarder, number };
        later.push((now + WATCH, ends));
        None
    }

    /// Answers the open watch with what is new, or with nothing.
    fn answer(
        &mut self,
        now: Micros,
        forwarder: u32,
        wire: &mut Wire,
        later: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListAnswer)> {
        let watch = &mut self.watches[forwarder as usize];
        watch.open = false;
        let opens_again = DiscoveryEvent::WatchOpens { forwarder };
        if !reaches(wire.cut, forwarder) {
            later.push((now + ANSWER_TIMEOUT + AGAIN, opens_again));
            return None;
        }
        let arrives = now + wire.call_delay();
        later.push((arrives + wire.call_delay(), opens_again));
        let (from, revision) = (watch.told, watch.known);
        watch.told = revision;
        let whole = revision - from > CHANGES_KEPT;
        let listings = match whole {
            true => self.current.clone(),
            false => self.listings_between(from, revision),
        };
        wire.control[forwarder as usize]
            .list_in
            .http(answer_bytes(revision, whole, &listings));
        let answer = ListAnswer {
            arrives,
            whole,
            revision,
            listings: Arc::new(listings),
        };
        (revision > from).then_some((forwarder, answer))
    }

    fn listings_between(&self, from: usize, revision: usize) -> Vec<EndpointEntry> {
        let changes = self.changes[from..revision].iter();
        changes.flat_map(|change| change.listings.clone()).collect()
    }

    /// All changes up to a revision are in force at a forwarder.
    pub fn in_force(&mut self, now: Micros, forwarder: u32, revision: usize) {
        for change in self.changes[..revision].iter_mut().rev() {
            let at = &mut change.in_force[forwarder as usize];
            if at.is_some() {
                return;
            }
            *at = Some(now);
        }
    }
}

/// Whether discovery reaches a forwarder.
fn reaches(cut: Cut, forwarder: u32) -> bool {
    match cut {
        Cut::None => true,
        Cut::Zone(zone) => forwarder_zone(forwarder) != zone,
        Cut::Regions => region(forwarder_zone(forwarder)) == 0,
    }
}

/// Bytes of the request for what comes after a revision.
fn request(told: usize) -> u64 {
    let wait = WATCH / 1_000;
    let head = format!(
        "GET /discovery/hosts?index={told}&wait={wait} HTTP/1.1\r\nhost: 10.255.0.1:8500\r\n\r\n"
    );
    head.len() as u64
}

/// Bytes of an answer, head and body.
pub fn answer_bytes(revision: usize, whole: bool, listings: &[EndpointEntry]) -> u64 {
    let frame = json!({"revision": revision, "complete": whole, "members": []})
        .to_string()
        .len();
    let members: usize = listings.iter().map(|l| member_text(l).len() + 1).sum();
    let body = frame + members.saturating_sub(1);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body}\r\n\r\n"
    );
    (head.len() + body) as u64
}

/// A line of the list in the protocol's JSON.
fn member_text(listing: &EndpointEntry) -> String {
    let destination = super::layout::destination_of(listing.endpoint);
    let phase = match listing.status {
        EndpointStatus::Ready => "Ready",
        EndpointStatus::Draining => "Terminating",
        EndpointStatus::Removed => "Gone",
    };
    let address = SocketAddrV4::new(
        Ipv4Addr::from(listing.endpoint.address),
        listing.endpoint.port,
    );
    json!({"id": format!("t{destination}-{}", listing.endpoint.incarnation), "host_port": address.to_string(),
        "locality": format!("zone-{}", listing.zone.0), "flavor": "partner", "cell": destination,
        "phase": phase, "size": listing.rate, "up_since_ms": 0})
    .to_string()
}
