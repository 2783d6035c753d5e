//! Tables and JSON for standard output.

use libs::comfy_table::presets::NOTHING;
use libs::comfy_table::{ContentArrangement, Table};
use libs::serde_json::Value;

use crate::messages::Failure;

/// Creates an empty table with the given column titles.
pub fn table(titles: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(titles.iter().copied());
    table
}

/// Prints a value as indented JSON.
pub fn print_json(value: &Value) {
    println!("{value:#}");
}

/// Formats a field of a JSON object; a dash if it is missing.
pub fn field(value: &Value, name: &str) -> String {
    match &value[name] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    }
}

/// Formats resources given as a JSON object.
pub fn resources(value: &Value) -> String {
    let number = |name: &str| value[name].as_u64().unwrap_or(0);
    let cores = number("cpu_milli") as f64 / 1000.0;
    format!("{cores:.1} cores, {} GB, {} accels", number("mem_mb") / 1024, number("accels"))
}

/// The rows of a JSON array.
pub fn rows(value: &Value) -> Result<&Vec<Value>, Failure> {
    value.as_array().ok_or_else(|| {
        Failure::NotFound("the entry's response has an unexpected format".to_owned())
    })
}
