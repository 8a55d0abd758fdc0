//! Output of results, as JSON or as a table.

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputForm {
    /// JSON, for programs.
    Json,
    /// Table, for people.
    Table,
}

/// Prints the whole `value` as JSON, or the named fields of `rows` as a table.
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

/// Returns the text of a field; `a.b` names field `b` of the object in field `a`.
fn cell(row: &serde_json::Value, field: &str) -> String {
    let found = field.split('.').fold(row, |value, name| &value[name]);
    match found {
        serde_json::Value::Null => "-".into(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
