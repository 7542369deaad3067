//! What happens to the whole fleet at once: a zone or the way between the regions is cut, and back.

use super::network::Partition;
use super::plan::{Incident, SECOND, ZONE_COUNT};
use super::{ExternalEvent, Fleet};
use opalpulley::Micros;

/// The zone that is cut off: not one of discovery's.
const ISOLATED_ZONE: u16 = ZONE_COUNT - 1;
impl Fleet<'_> {
    /// Plans the incident of the run, if one is asked for.
    pub(super) fn schedule_incident(&mut self) {
        let (from, until) = self.plan.incident_span();
        match self.plan.incident {
            Incident::None => {}
            Incident::Change => self
                .events
                .push(from, ExternalEvent::ConfigChange { is_random: false }),
            Incident::ZoneCut | Incident::RegionCut => {
                self.events
                    .push(from, ExternalEvent::Incident { begins: true });
                // One change in the midst of it, one just after it: who has them when?
                self.events.push(
                    (from + until) / 2,
                    ExternalEvent::ConfigChange { is_random: false },
                );
                self.events
                    .push(until, ExternalEvent::Incident { begins: false });
                self.events.push(
                    until + SECOND,
                    ExternalEvent::ConfigChange { is_random: false },
                );
            }
        }
    }

    /// The incident begins or ends.
    pub(super) fn apply_incident(&mut self, now: Micros, begins: bool) {
        let previous = self.network.partition;
        self.network.partition = match (self.plan.incident, begins) {
            (Incident::ZoneCut, true) => Partition::Zone(ISOLATED_ZONE),
            (Incident::RegionCut, true) => Partition::Regions,
            _ => Partition::None,
        };
        if !begins {
            let propagations = self.discovery.propagate_after_partition(now, previous);
            self.schedule_discovery(propagations);
        }
        if self.plan.incident == Incident::ZoneCut {
            let (layout, receivers) = (&self.layout, &mut self.receivers);
            let all = layout.destinations.iter().zip(0..);
            all.filter(|(d, _)| d.zone == ISOLATED_ZONE)
                .for_each(|(_, n)| receivers.set_zone_isolated(now, n, begins));
            self.distribute_arrivals(now, |zone| !begins || zone != ISOLATED_ZONE);
        }
    }

    /// Clients give their messages to the forwarders of these zones, evenly.
    fn distribute_arrivals(&mut self, now: Micros, accepts: impl Fn(u16) -> bool) {
        let accepting = self
            .forwarders
            .iter()
            .filter(|f| accepts(f.zone))
            .count()
            .max(1);
        let per_forwarder = self.plan.events_a_second / accepting as f64;
        for forwarder in &mut self.forwarders {
            let per_second = if accepts(forwarder.zone) {
                per_forwarder
            } else {
                0.0
            };
            forwarder.set_arrival_rate(now, per_second);
        }
    }
}
