//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Item {
    /// Base64 as the caller sent it.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes as event texts, with revision and key.
    history: Vec<(u64, String, String)>,
    revision: u64,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"leaseId\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits =
            (0..3).fold(0u32, |bits, at| bits << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            let event =
                format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key));
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            keys.iter().for_each(|key| self.remove(key, revision));
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|lease| self.end_lease(*lease));
        !ended.is_empty()
    }
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 1;
        let expiring = Arc::downgrade(&store);
        std::thread::spawn(move || {
            while let Some(store) = expiring.upgrade() {
                if store.state.lock().unwrap().expire(Instant::now()) {
                    store.changed.notify_all();
                }
                drop(store);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        store
    }

    /// Writes an item as the operator or a runner does.
    pub fn write(&self, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(text.as_bytes()), 0, revision);
        drop(state);
        self.changed.notify_all();
    }

    /// Answers a call of the system.
    pub fn answer(&self, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = request.param("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let fields = text.trim_end_matches('}');
                        Reply::Answer(200, format!("{fields},\"at\":{}}}", state.revision))
                    }
                    None => Reply::Answer(404, format!("{{\"at\":{}}}", state.revision)),
                }
            }
            ("GET", "/v1/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (request.param("pathPrefix"), request.param("after"));
                let all: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let items: Vec<String> =
                    all.iter().take(500).map(|(key, item)| item_json(key, item)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":{},\"at\":{}}}",
                    items.join(","),
                    all.len() > 500,
                    state.revision
                );
                Reply::Answer(200, text)
            }
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => {
                let Some(body) = Json::parse(&request.body) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                let ttl_ms = body.get("ttlMs").whole().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                Reply::Answer(200, format!("{{\"leaseId\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        Reply::Answer(200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => Reply::Answer(404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                if !state.leases.contains_key(&lease) {
                    return Reply::Answer(404, "{}".to_owned());
                }
                state.end_lease(lease);
                drop(state);
                self.changed.notify_all();
                Reply::Answer(200, "{}".to_owned())
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.param("pathPrefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(revision, ..)| *revision <= after);
            let mut events = Vec::new();
            let mut at = state.revision;
            for (revision, key, event) in &state.history[start..] {
                // All changes of a revision are in one answer.
                if events.len() >= 500 && *revision > at {
                    break;
                }
                if key.starts_with(&prefix) {
                    events.push(event.as_str());
                    if events.len() >= 500 {
                        at = *revision;
                    }
                }
            }
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return Reply::Answer(200, text);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expectedRevision").list();
        let current = |state: &State, key: &str| state.items.get(key).map_or(0, |one| one.revision);
        if expected
            .iter()
            .any(|row| current(&state, row.get("key").text()) != row.get("revision").whole())
        {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| state.items.get_key_value(row.get("key").text()))
                .map(|(key, item)| item_json(key, item))
                .collect();
            return Reply::Answer(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("write").list();
        let keys = writes.iter().map(|row| row.get("key").text());
        let removed = body.get("remove").list();
        let mut all_keys = keys.chain(removed.iter().map(Json::text));
        if all_keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return Reply::Answer(403, "{}".to_owned());
        }
        let lease_of = |row: &Json| row.get("leaseId").whole();
        if writes.iter().any(|row| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row)))
        {
            return Reply::Answer(404, "{}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in writes {
            state.put(
                row.get("key").text(),
                row.get("value").text().to_owned(),
                lease_of(row),
                revision,
            );
        }
        for key in removed {
            state.remove(key.text(), revision);
        }
        drop(state);
        self.changed.notify_all();
        Reply::Answer(200, format!("{{\"revision\":{revision}}}"))
    }
}
