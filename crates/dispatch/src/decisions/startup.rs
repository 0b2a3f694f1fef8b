//! How soon an instance that starts may claim its zone.
//!
//! It handles the return of all power at once: keepers start some 100 ms apart from one another and
//! among the entries, the clients' backlog of a second is there already, and each 100 ms without a
//! scheduler leaves the capacity of a whole zone idle.
//!
//! An instance that runs reports all claims that it knows in each heartbeat. Several instances that
//! know no claim to a zone have therefore started as recently as this one, and there is no
//! scheduler to wait for. If there is one nevertheless, the later claim takes the zone over, as
//! after any other loss: upstreams accept the orders of the higher fencing token only.

use crate::{messages::claim, tables::membership};

/// Number of other instances that must know no claim to the zone. Some entries may have restarted
/// at the same time as this instance while the system runs; three of them, before one that runs has
/// answered, are unlikely.
const WITNESSES: usize = 3;

/// Whether enough other instances report that the zone of this one has no scheduler. `held` is the
/// highest claim to it that this instance knows.
pub(crate) fn is_vacant(membership: &membership::Membership, held: Option<&claim::Claim>) -> bool {
    let zone = &membership.me().zone;
    let pings = || {
        let peers = membership.names().filter_map(|name| membership.peer(name));
        peers.filter_map(|peer| peer.ping.as_ref())
    };
    let knows = |claims: &[claim::Claim]| claims.iter().any(|claim| claim.zone == *zone);
    held.is_none()
        && pings().all(|ping| ping.led.is_empty() || ping.card.zone != *zone)
        && pings().filter(|ping| !knows(&ping.claims)).take(WITNESSES).count() == WITNESSES
}
