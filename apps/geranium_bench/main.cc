// Benchmarks of placement and ownership on their tables, without sockets.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "benches.h"

DEFINE_uint64(seed, 1, "seed of all random draws");
DEFINE_string(csv, "", "file for the results as CSV; none when empty");
DEFINE_string(only,
              "",
              "run one part: reuse, moves, decisions, leases, schemes, router or "
              "tables");
DEFINE_int32(deployment_minutes, 60, "simulated minutes of load for the two deployments");
DEFINE_int32(design_minutes, 10, "simulated minutes of load for the design size");
DEFINE_int32(decisions, 200000, "decisions timed at each fleet size");

namespace geraniumspread::bench {
namespace {

bool Runs(const std::string& part) {
  return FLAGS_only.empty() || FLAGS_only == part;
}

void Emit(std::ostream* csv, const Table& table) {
  PrintMarkdown(std::cout, table);
  if (csv != nullptr) {
    PrintCsv(*csv, table);
  }
}

void RunParts(std::ostream* csv) {
  if (Runs("decisions")) {
    Emit(csv, MeasureDecisions(FLAGS_decisions, FLAGS_seed));
  }
  if (Runs("moves")) {
    for (const FleetSpec& spec : {Crestline(), PecanBend(), DesignSize()}) {
      Emit(csv, MeasureMovedChats(spec, FLAGS_seed));
    }
  }
  if (Runs("leases")) {
    Emit(csv, MeasureLeaseBytes());
  }
  if (Runs("schemes")) {
    Emit(csv, MeasureColdLimitSchemes(FLAGS_seed));
  }
  if (Runs("router")) {
    Emit(csv, MeasureRouterState(FLAGS_seed));
  }
  if (Runs("tables")) {
    Emit(csv, MeasureTables(FLAGS_seed));
  }
  if (Runs("reuse")) {
    const auto minutes = std::chrono::minutes(FLAGS_deployment_minutes);
    Emit(csv, MeasureReuse(Crestline(), minutes, FLAGS_seed));
    Emit(csv, MeasureReuse(PecanBend(), minutes, FLAGS_seed));
    Emit(csv, MeasureReuse(DesignSize(), std::chrono::minutes(FLAGS_design_minutes), FLAGS_seed));
  }
}

}  // namespace
}  // namespace geraniumspread::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ofstream file;
  if (!FLAGS_csv.empty()) {
    file.open(FLAGS_csv);
    if (!file) {
      std::cerr << "cannot write " << FLAGS_csv << "\n";
      return 1;
    }
  }
  geraniumspread::bench::RunParts(FLAGS_csv.empty() ? nullptr : &file);
  return 0;
}
