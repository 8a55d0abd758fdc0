//! Executable of the benchmarks.

fn main() -> std::process::ExitCode {
    jayhollow::bench::run()
}
