//! The differences between two documents, field by field.

use serde::Serialize;
use serde_json::Value;

use crate::document::IntentDocument;

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentDifference {
    /// Path of the field; list members that have a name go by it.
    pub place: String,
    /// Value in the first document.
    pub before: Option<Value>,
    /// Value in the second.
    pub after: Option<Value>,
}

/// Every difference, in the order of the fields.
pub fn compare(before: &IntentDocument, after: &IntentDocument) -> Vec<DocumentDifference> {
    let mut found = Vec::new();
    let (before, after) = (value(before), value(after));
    walk("", before.as_ref(), after.as_ref(), &mut found);
    found
}

fn value(document: &IntentDocument) -> Option<Value> {
    serde_json::to_value(document).ok()
}

fn walk(
    place: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<DocumentDifference>,
) {
    if before == after {
        return;
    }
    let (old, new) = (members(before), members(after));
    if old.is_none() || new.is_none() {
        let (before, after) = (before.cloned(), after.cloned());
        found.push(DocumentDifference { place: place.to_owned(), before, after });
        return;
    }
    let (old, new) = (old.unwrap_or_default(), new.unwrap_or_default());
    for (name, before) in &old {
        let after = new.iter().find(|(other, _)| other == name).map(|(_, value)| *value);
        walk(&join(place, name), Some(before), after, found);
    }
    for (name, after) in new.iter().filter(|(name, _)| !old.iter().any(|(other, _)| other == name))
    {
        walk(&join(place, name), None, Some(after), found);
    }
}

/// Members of an object by key, of a list by name or place; none for anything else.
fn members(value: Option<&Value>) -> Option<Vec<(String, &Value)>> {
    match value? {
        Value::Object(map) => Some(map.iter().map(|(key, value)| (key.clone(), value)).collect()),
        Value::Array(list) => {
            let name = |(index, value): (usize, &Value)| match value.get("name") {
                Some(Value::String(name)) => name.clone(),
                _ => index.to_string(),
            };
            Some(list.iter().enumerate().map(|member| (name(member), member.1)).collect())
        }
        _ => None,
    }
}

fn join(place: &str, name: &str) -> String {
    if place.is_empty() { name.to_owned() } else { format!("{place}.{name}") }
}
