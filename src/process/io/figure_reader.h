#ifndef PROCESS_IO_FIGURE_READER_H_
#define PROCESS_IO_FIGURE_READER_H_

#include <chrono>
#include <string>
#include <vector>

#include "version/io/json_reader.h"

namespace mangodoor {

/** A value in the settings that cannot be used, and what replaces it. */
struct ReplacedSetting {
  /** A JSON pointer. */
  std::string path;
  std::string seen;
  std::string allowed;
  /** The value used instead; empty if the value was left out. */
  std::string used;
};

/** For example "/fleet/cores: 0; allowed: a number from 1 to 64; used: 1". */
std::string ToString(const ReplacedSetting& replaced);

/** What is used in place of a figure. */
template <typename Value>
struct FigureDefault {
  /** If there is no value. */
  Value absent;
  /** If the value cannot be read: the one in use when settings are reloaded. */
  Value unreadable;
};

/**
 * Reads the figures of settings that a platform fills in. A figure is a number,
 * true or false, or a text that holds one; an empty text is no value. None of
 * them is a reason not to start: a number outside its range becomes the nearest
 * allowed one, and a value that cannot be read is replaced by a default.
 */
struct FigureReader {
  ObjectReader& object;
  std::vector<ReplacedSetting>& replaced;
};

double ReadFigure(FigureReader& reader,
                  const std::string& field,
                  const Range<double>& range,
                  const FigureDefault<double>& defaults);

/**
 * Reads a time from `name`_s in seconds or `name`_ms in milliseconds, which
 * counts if both are there. Fractions of a millisecond are dropped.
 */
std::chrono::milliseconds ReadTime(
    FigureReader& reader,
    const std::string& name,
    const Range<double>& range_ms,
    const FigureDefault<std::chrono::milliseconds>& defaults);

bool ReadSwitch(FigureReader& reader,
                const std::string& field,
                const FigureDefault<bool>& defaults);

}  // namespace mangodoor

#endif  // PROCESS_IO_FIGURE_READER_H_
