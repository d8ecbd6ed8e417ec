//! Organisations of the site's callers: keys that operators give out and take away, and caps.

use serde_json::{Value, json};

/// Names of the organisations.
pub const ORGANISATIONS: [&str; 2] = ["east", "west"];
/// Processor that each may have running, in thousandths of a core.
pub const CAP_CPU: u64 = 9_000;
/// What the platform lets it have beyond that, in percent, and one task.
const OVERAGE_PERCENT: u64 = 10;
/// Time after the acknowledgement of a revocation from which the key may not be served anywhere, in milliseconds.
pub const REVOKE_MS: u64 = 2_000;

/// The keys in force.
#[derive(Clone, Debug)]
pub struct KeyRegister {
    keys: Vec<(usize, String)>,
    issued: u64,
}

impl Default for KeyRegister {
    fn default() -> Self {
        let keys = ORGANISATIONS.iter().enumerate();
        KeyRegister {
            keys: keys.map(|(number, name)| (number, lasting_key(name))).collect(),
            issued: 0,
        }
    }
}

/// The key of an organisation that is never taken away.
pub fn lasting_key(name: &str) -> String {
    format!("lasting-key-of-{name}")
}

impl KeyRegister {
    /// Gives out one more key.
    pub fn issue(&mut self, organisation: usize) -> String {
        self.issued += 1;
        let key = format!("passing-key-{}", self.issued);
        self.keys.push((organisation, key.clone()));
        key
    }

    /// Takes a key away.
    pub fn revoke(&mut self, key: &str) {
        self.keys.retain(|(_, known)| known != key);
    }

    /// The organisations as a configuration has them.
    pub fn tenants(&self) -> Value {
        let keys = |number: usize| -> Vec<&str> {
            let own = self.keys.iter().filter(|(owner, _)| *owner == number);
            own.map(|(_, key)| key.as_str()).collect()
        };
        let tenants = ORGANISATIONS.iter().enumerate().map(|(number, name)| {
            json!({
                "name": name, "api-keys": keys(number), "weight": 200,
                "cap": { "cpu": CAP_CPU, "mem-mb": 0, "gpu": 0 },
            })
        });
        tenants.collect()
    }
}

/// Most that an organisation may have running when a task of this size has started.
pub fn most_running(task_cpu: u64) -> u64 {
    CAP_CPU + CAP_CPU * OVERAGE_PERCENT / 100 + task_cpu
}
