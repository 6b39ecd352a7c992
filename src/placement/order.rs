//! Records of the `orders` stream, and the table that decides which of them are valid.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::engine::OrderAction;
use crate::error::{Error, Result};
use crate::ids::{LogOffset, RecordId, VmId};

/// An order as recorded by its planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedOrder {
    /// Identifies the record when the answer to the append was lost.
    pub id: RecordId,
    pub zone: SmolStr,
    /// Fencing number of the planner: the `members` offset that made it planner.
    pub planner_fence: LogOffset,
    pub planner: VmId,
    /// Name of the backend server.
    pub server: SmolStr,
    pub action: OrderAction,
}

/// One record of the `orders` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRecord {
    /// The daemon became planner of the zone. Later records of the zone with a lower fencing number have no effect.
    Lead {
        id: RecordId,
        zone: SmolStr,
        planner_fence: LogOffset,
        planner: VmId,
    },
    Order(PlannedOrder),
    /// The planner does not send the order at this offset again.
    Done {
        order: LogOffset,
    },
}

impl OrderRecord {
    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// `Internal` if the encoder fails.
    pub fn encode(&self) -> Result<Bytes> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map(Bytes::from)
            .map_err(|error| Error::internal(format!("order record cannot be encoded: {error}")))
    }

    /// Decodes a log record.
    ///
    /// # Errors
    ///
    /// `Invalid` if the data is not a record of the stream.
    pub fn decode(data: &[u8]) -> Result<Self> {
        bincode::serde::decode_from_slice(data, bincode::config::standard())
            .map(|(record, _)| record)
            .map_err(|error| Error::invalid(format!("order record cannot be decoded: {error}")))
    }
}

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// The planner leads its zone.
    Leads { id: RecordId },
    /// The order is valid and may be sent with its offset as fencing number.
    Valid(PlannedOrder),
    /// A planner with a higher fencing number leads the zone. If the record is an order, it must never be sent.
    Fenced { id: RecordId },
    /// The order for `server` at this offset is not sent again.
    Closed { order: LogOffset, server: SmolStr },
    /// No effect.
    Nothing,
}

#[derive(Clone, Debug)]
struct OpenOrder {
    id: RecordId,
    server: SmolStr,
    zone: SmolStr,
    planner_fence: LogOffset,
}

/// Valid and open orders, replayed in offset order.
///
/// A record is fenced if a record of its zone precedes it whose planner has a higher fencing number. The `members` and
/// `orders` streams have no common order, so a planner's first record is `Lead`: it fences what a former planner
/// appends later.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    next: LogOffset,
    leads: HashMap<SmolStr, LogOffset>,
    open: BTreeMap<LogOffset, OpenOrder>,
}

impl OrderTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next offset to apply.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of open orders.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the highest fencing number of a planner of `zone` so far.
    pub fn lead(&self, zone: &str) -> Option<LogOffset> {
        self.leads.get(zone).copied()
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    /// Applies the record at `offset`; offsets below [`Self::next`] are ignored.
    pub fn apply(&mut self, offset: LogOffset, record: &OrderRecord) -> OrderEffect {
        if offset < self.next {
            return OrderEffect::Nothing;
        }
        self.next = offset.next();
        match record {
            OrderRecord::Lead {
                id,
                zone,
                planner_fence,
                ..
            } => {
                if self.advance_lead(zone, *planner_fence) {
                    OrderEffect::Leads { id: *id }
                } else {
                    OrderEffect::Fenced { id: *id }
                }
            }
            OrderRecord::Order(order) => self.order(offset, order),
            OrderRecord::Done { order } => match self.open.remove(order) {
                Some(open) => OrderEffect::Closed {
                    order: *order,
                    server: open.server,
                },
                None => OrderEffect::Nothing,
            },
        }
    }

    fn advance_lead(&mut self, zone: &SmolStr, fence: LogOffset) -> bool {
        let lead = self.leads.entry(zone.clone()).or_insert(fence);
        if fence < *lead {
            return false;
        }
        if fence > *lead {
            *lead = fence;
            // The former planner's orders may still take effect, so the memory ledgers keep counting them.
            self.open
                .retain(|_, open| open.zone != *zone || open.planner_fence >= fence);
        }
        true
    }

    fn order(&mut self, offset: LogOffset, order: &PlannedOrder) -> OrderEffect {
        // A repeated append has no effect while its order is open. After that, the planner closes the copy unsent.
        if self.open.values().any(|open| open.id == order.id) {
            return OrderEffect::Nothing;
        }
        if !self.advance_lead(&order.zone, order.planner_fence) {
            return OrderEffect::Fenced { id: order.id };
        }
        let open = OpenOrder {
            id: order.id,
            server: order.server.clone(),
            zone: order.zone.clone(),
            planner_fence: order.planner_fence,
        };
        self.open.insert(offset, open);
        OrderEffect::Valid(order.clone())
    }
}
