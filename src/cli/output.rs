//! Printing of answers: as JSON, or as a table for people.

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputForm {
    /// For programs.
    Json,
    /// For people.
    Table,
}

/// Prints a value: whole as JSON, or the named fields of its rows as a table.
pub fn print(
    form: OutputForm,
    value: &serde_json::Value,
    rows: &[serde_json::Value],
    fields: &[&str],
) {
    match form {
        OutputForm::Json => {
            println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            );
        }
        OutputForm::Table => println!("{}", table(rows, fields)),
    }
}

fn table(rows: &[serde_json::Value], fields: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(fields.iter().map(|f| f.to_uppercase()));
    for row in rows {
        table.add_row(fields.iter().map(|f| cell(row, f)));
    }
    table
}

/// The text of a field; `a.b` names a field within a field.
fn cell(row: &serde_json::Value, field: &str) -> String {
    let found = field.split('.').fold(row, |value, name| &value[name]);
    match found {
        serde_json::Value::Null => "-".into(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
