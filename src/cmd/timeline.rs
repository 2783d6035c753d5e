//! `carobsill timeline`.

use libs::serde_json;
use timeline::{Event, Filter, merge_lines};

use crate::cli::{Format, TimelineArgs};
use crate::files::read_text;
use crate::messages::Failure;
use crate::output::table;

/// Merges the timelines of several processes into causal order.
pub fn run(args: &TimelineArgs) -> Result<(), Failure> {
    let texts = args.files.iter().map(|file| read_text(file)).collect::<Result<Vec<_>, _>>()?;
    let filter = Filter { pool: args.pool.clone(), subject: args.subject.clone() };
    let events = merge_lines(texts.iter().flat_map(|text| text.lines()), &filter);
    if args.format == Format::Json {
        for event in &events {
            println!("{}", serde_json::to_string(event).unwrap_or_default());
        }
        return Ok(());
    }
    let mut output = table(&["TIME", "PROCESS", "POOL", "EPOCH", "EVENT", "SUBJECT", "DETAIL"]);
    for event in &events {
        output.add_row(row(event));
    }
    println!("{output}");
    Ok(())
}

fn row(event: &Event) -> [String; 7] {
    let kind = serde_json::to_value(event.kind).ok();
    [
        event.stamp.to_string(),
        event.node.name.to_string(),
        event.pool.as_ref().map(ToString::to_string).unwrap_or_default(),
        event.epoch.map(|epoch| epoch.to_string()).unwrap_or_default(),
        kind.as_ref().and_then(|kind| kind.as_str()).unwrap_or_default().to_owned(),
        event.subject.to_string(),
        event.detail.to_string(),
    ]
}
