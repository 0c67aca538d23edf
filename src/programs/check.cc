#include <tclap/CmdLine.h>

#include <iostream>

#include "process/io/command_line.h"
#include "process/io/settings.h"
#include "process/io/text_file.h"
#include "version/document_diff.h"
#include "version/io/digest.h"
#include "version/io/document_codec.h"

namespace mangodoor {
namespace {

// Larger than the limit for documents, so that the checker can report the size
// of a document that exceeds the limit.
constexpr size_t kMaxReadBytes = size_t{16} * 1024 * 1024;

struct Options {
  std::string document;
  std::string against;
  std::string settings;
};

void PrintFaults(const std::string& path, const std::vector<Fault>& faults) {
  for (const Fault& fault : faults)
    std::cout << path << ": " << ToString(fault) << "\n";
  std::cout << path << ": not good, faults found: " << faults.size() << "\n";
}

// Prints the result. Returns nothing if the document has faults.
std::optional<Document> CheckFile(const std::string& path) {
  const std::string text = ReadTextFile(path, kMaxReadBytes);
  try {
    Document document = DecodeDocument(text);
    std::cout << path << ": good, " << Summarise(document) << "\n"
              << path << ": digest " << Sha256Hex(text) << "\n";
    return document;
  } catch (const DocumentError& error) {
    PrintFaults(path, error.faults());
    return std::nullopt;
  }
}

bool CheckSettings(const std::string& path) {
  try {
    const Settings settings = LoadSettings(path);
    for (const ReplacedSetting& replaced : settings.replaced)
      std::cout << path << ": " << ToString(replaced) << "\n";
    if (!settings.replaced.empty())
      return false;
    std::cout << path << ": good, instance " << settings.self.id << " in "
              << settings.self.data_centre << "\n";
    return true;
  } catch (const SettingsError& error) {
    PrintFaults(path, error.faults());
    return false;
  }
}

// Returns false if an instance with `before` in force would ignore `after`.
bool PrintChanges(const Document& before, const Document& after) {
  const std::vector<std::string> changes = DescribeChanges(before, after);
  for (const std::string& change : changes)
    std::cout << change << "\n";
  std::cout << changes.size() << " changes from version " << before.version
            << " to version " << after.version << "\n";
  if (after.version > before.version)
    return true;
  std::cout << "/version: " << after.version << "; allowed: more than "
            << before.version
            << "; otherwise instances keep the version in force\n";
  return false;
}

int Run(const Options& options) {
  bool good = true;
  if (!options.settings.empty())
    good = CheckSettings(options.settings);
  if (options.document.empty())
    return good ? kExitSuccess : kExitFailure;
  const std::optional<Document> document = CheckFile(options.document);
  good = good && document;
  if (!options.against.empty()) {
    const std::optional<Document> before = CheckFile(options.against);
    good = good && before;
    if (document && before)
      good = PrintChanges(*before, *document) && good;
  }
  return good ? kExitSuccess : kExitFailure;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Checks a configuration document or the settings of an instance and "
      "explains each fault. Exit codes: 0 good, 1 faults found, 2 wrong use, "
      "3 a file cannot be read.",
      ' ', MANGODOOR_VERSION);
  TCLAP::ValueArg<std::string> against(
      "a", "against", "Show what would change from this document", false, "",
      "file", command);
  TCLAP::ValueArg<std::string> settings("s", "settings",
                                        "Check the settings of an instance",
                                        false, "", "file", command);
  TCLAP::UnlabeledValueArg<std::string> document(
      "document", "The document to check (JSON with comments)", false, "",
      "document", command);
  if (const auto exit = mangodoor::ParseArguments(command, argc, argv))
    return *exit;
  const mangodoor::Options options{document.getValue(), against.getValue(),
                                   settings.getValue()};
  // TCLAP parses an unknown flag as the document argument.
  if (options.document.rfind('-', 0) == 0) {
    std::cerr << "error: unknown argument " << options.document
              << "; --help lists the arguments\n";
    return mangodoor::kExitUsageError;
  }
  if (options.document.empty() &&
      (options.settings.empty() || !options.against.empty())) {
    std::cerr << "error: give a document, or --settings FILE; --help lists "
                 "the arguments\n";
    return mangodoor::kExitUsageError;
  }
  try {
    return mangodoor::Run(options);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return mangodoor::kExitUnavailable;
  }
}
