//! The platform's store: items, transactions, leases and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Item {
    /// The value as sent: standard base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    revision: u64,
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Most items in a page.
const PAGE_ITEMS: usize = 500;
/// `valueBytes`.
const VALUE_BYTES: usize = 1_048_576 + 2;
/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(2);

fn item_json(key: &str, item: &Item, at: u64) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"leaseId\":{},\"at\":{at}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn erase(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.changes.push(Change { revision, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.erase(key));
        true
    }

    fn transact(&mut self, body: &Json) -> Response {
        let rows = body.get("expectedRevision").list();
        let holds = rows.iter().all(|row| {
            let current = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(current)
        });
        if !holds {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(item_json(key, self.items.get(key)?, self.revision))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |row: &Json| row.get("leaseId").number().unwrap_or(0);
        let writes = body.get("write").list();
        if writes.iter().any(|row| lease(row) > 0 && !self.leases.contains_key(&lease(row))) {
            return (404, String::new());
        }
        if writes.iter().any(|row| row.get("value").text().len() / 4 * 3 > VALUE_BYTES) {
            return (413, String::new());
        }
        self.revision += 1;
        for row in writes {
            self.write(row.get("key").text(), row.get("value").text().to_owned(), lease(row));
        }
        for key in body.get("remove").list() {
            self.erase(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let found = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let mut items: Vec<String> =
            found.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item, self.revision)).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let (at, items) = (self.revision, items.join(","));
        (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"at\":{at}}}"))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let found = self
            .changes
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix));
        found
            .map(|change| match &change.item {
                Some(item) => item_json(&change.key, item, self.revision),
                None => format!(
                    "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                    quote(&change.key),
                    change.revision
                ),
            })
            .collect()
    }
}

impl Store {
    /// Writes an item as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("the store");
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("the store");
        state.revision += 1;
        state.erase(key);
        self.changed.notify_all();
    }

    /// Serves on a free port.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = store.state.lock().expect("the store");
                let now = Instant::now();
                let over = state.leases.iter().filter(|(_, (_, ends))| *ends <= now);
                let over: Vec<u64> = over.map(|(id, _)| *id).collect();
                for lease in over {
                    state.end_lease(lease);
                    store.changed.notify_all();
                }
            }
        });
        address
    }

    fn serve_connection(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            thread::sleep(ANSWER);
            let response = self.answer(&request);
            if http::write_response(&mut writer, &response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        if path == "/v1/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.state.lock().expect("the store");
        let response = match path {
            "/v1/kv-key" => {
                let key = request.query_value("key");
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, state.revision)),
                    None => (404, String::new()),
                }
            }
            "/v1/kv-range" => {
                state.range(&request.query_value("pathPrefix"), &request.query_value("after"))
            }
            "/v1/kv-txn" => {
                let foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
                let writes = body.get("write").list().iter().map(|row| row.get("key").text());
                let removes = body.get("remove").list().iter().map(Json::text);
                if writes.chain(removes).any(foreign) {
                    (403, String::new())
                } else {
                    state.transact(&body)
                }
            }
            "/v1/kv-lease" => {
                let ttl = body.get("ttlMs").number().unwrap_or(1_000).max(1_000);
                state.last_lease += 1;
                let id = 77_000 + state.last_lease;
                state.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!("{{\"leaseId\":{id},\"ttlMs\":{ttl}}}"))
            }
            _ => {
                let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
                if let Some(id) = id("/v1/kv-keep/") {
                    match state.leases.get_mut(&id) {
                        Some((ttl, ends)) => {
                            *ends = Instant::now() + Duration::from_millis(*ttl);
                            (200, format!("{{\"ttlMs\":{ttl}}}"))
                        }
                        None => (404, String::new()),
                    }
                } else if let Some(id) = id("/v1/kv-lease-end/") {
                    (if state.end_lease(id) { 200 } else { 404 }, String::from("{}"))
                } else {
                    (404, String::new())
                }
            }
        };
        self.changed.notify_all();
        response
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.query_value("pathPrefix");
        let after = request.query_value("after").parse().unwrap_or(0);
        let wait = request.query_value("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("the store");
        loop {
            let events = state.events(&prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.changed.wait_timeout(state, left).expect("the store").0;
        }
    }
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(LETTERS[(word >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
