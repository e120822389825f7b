//! The state service's address for one controller. It passes requests on to the project's fake
//! store and applies the limits of a transaction, which the fake store does not know.

use crate::record::Record;
use parking_lot::Mutex;
use pulleywood_protocol::cbor;
use pulleywood_protocol::store::{Transaction, Write};
use pulleywood_transport::Client;
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Limits of transactions.
#[derive(Debug, Clone, Copy)]
pub struct TransactionLimits {
    pub txn_ops: usize,
    pub value_kb: f64,
}

struct Front {
    name: String,
    store: Client,
    limits: Arc<Mutex<TransactionLimits>>,
    record: Arc<Record>,
}

/// Starts the address of one controller, in front of an endpoint of the fake store.
pub fn start(
    name: String,
    store: SocketAddr,
    limits: Arc<Mutex<TransactionLimits>>,
    record: Arc<Record>,
) -> std::io::Result<SocketAddr> {
    let front = Front {
        name,
        store: Client::new(store, 16),
        limits,
        record,
    };
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(serve(loopback, Limits::thread_per_connection(64), front)?.address)
}

/// The keys that a transaction changes.
fn keys(transaction: &Transaction) -> Vec<&str> {
    let writes = transaction.writes.iter();
    writes
        .map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.as_str(),
        })
        .collect()
}

/// Why a transaction is beyond the limits; `None` if it is not.
fn beyond(transaction: &Transaction, limits: TransactionLimits) -> Option<String> {
    let (ops, conditions) = (transaction.writes.len(), transaction.compares.len());
    if ops > limits.txn_ops {
        return Some(format!("{ops} changes, the limit is {}", limits.txn_ops));
    }
    if conditions > 4 * limits.txn_ops {
        return Some(format!(
            "{conditions} conditions, the limit is {}",
            4 * limits.txn_ops
        ));
    }
    transaction.writes.iter().find_map(|write| {
        let Write::Put { key, value, .. } = write else {
            return None;
        };
        let bytes = serde_json::to_vec(value).map_or(0, |json| json.len());
        (bytes as f64 > limits.value_kb * 1024.0).then(|| {
            format!(
                "{bytes} bytes in {key}, the limit is {} KiB",
                limits.value_kb
            )
        })
    })
}

impl Handler for Front {
    fn handle(&self, request: &Request<'_>) -> Response {
        if request.path == "/commit"
            && let Ok(transaction) = cbor::decode::<Transaction>(request.body)
            && let Some(reason) = beyond(&transaction, *self.limits.lock())
        {
            let keys = keys(&transaction).join(" ");
            self.record.line(&format!(
                "state service answered 400 to a transaction of {}: {reason}; it changes {keys}",
                self.name
            ));
            return Response::cbor(400, &BTreeMap::from([("error", "beyond the limits")]));
        }
        let path = match request.query {
            "" => request.path.to_owned(),
            query => format!("{}?{query}", request.path),
        };
        let body = (request.method != "GET" && !request.body.is_empty()).then_some(request.body);
        match self
            .store
            .call(request.method, &path, body, Duration::from_secs(70))
        {
            Ok(response) => Response {
                status: response.status,
                body: response.body,
                ..Response::default()
            },
            Err(_) => Response::status(503),
        }
    }
}
