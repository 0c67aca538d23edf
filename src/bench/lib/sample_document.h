#ifndef BENCH_LIB_SAMPLE_DOCUMENT_H_
#define BENCH_LIB_SAMPLE_DOCUMENT_H_

#include <string>

namespace mangodoor {

/** The size of a generated document. */
struct DocumentSize {
  int servers = 40;
  int services = 4;
  int data_centres = 4;
  int entry_addresses = 17;
  int client_accounts = 8;
  int keys = 16;
  uint64_t version = 1;
};

/** A valid document of that size, as JSON without white space. */
std::string SampleDocument(const DocumentSize& size);

/**
 * The size that the users expect (DEVELOPERS.md); the numbers of client
 * accounts and keys are assumptions.
 */
DocumentSize TargetSize();

}  // namespace mangodoor

#endif  // BENCH_LIB_SAMPLE_DOCUMENT_H_
