#include "process/peers/io/feed_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/peers/io/peer_codec.h"
#include "process/peers/io/peer_fields.h"
#include "process/registry/io/patch_codec.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxFeedItems = 65536;
constexpr size_t kMaxFeedPatches = 64;
// Position of the optional patches in the array of an item.
constexpr size_t kPatchesIndex = 4;
// Limit on all values of an update once they are decompressed.
constexpr size_t kMaxUnpackedBytes = 8 * 1024 * 1024;
constexpr Duration kMaxCarriedTime = std::chrono::minutes(10);

constexpr std::array<const char*, 3> kFeedEncodings{"plain", "packed",
                                                    "patched"};

// Stores that were never restored have the era 0, which is left out.
void AddEra(Json& json, const char* name, const StoreRevision& revision) {
  if (revision.era > 0)
    json[name] = revision.era;
}

Json EncodePatches(const std::vector<ValuePatch>& patches) {
  Json entries = Json::array();
  for (const ValuePatch& patch : patches)
    entries.push_back({patch.base, patch.revision, ToBytes(patch.bytes)});
  return entries;
}

/**
 * The changes of the item's value. A compressed value is a patch without a
 * base.
 */
Json EncodeFeedItem(const StoreItem& item, bool packed) {
  std::vector<ValuePatch> patches = item.patches;
  if (packed && item.value.size() >= kMinPatchedBytes) {
    if (auto bytes = EncodePatch("", item.value))
      patches = {{0, item.revision.number, std::move(*bytes)}};
  }
  if (patches.empty())
    return {item.key, item.revision.number, item.deleted, ToBytes(item.value)};
  return {item.key, item.revision.number, item.deleted, ToBytes(""),
          EncodePatches(patches)};
}

std::vector<ValuePatch> DecodePatches(const Json& entries) {
  if (!entries.is_array() || entries.size() > kMaxFeedPatches)
    throw PeerMessageError("the patches of a value are invalid");
  std::vector<ValuePatch> patches;
  for (const Json& entry : entries) {
    ValuePatch patch;
    patch.base = static_cast<uint64_t>(IntegerIn(entry, 0, 0, kMaxRevision));
    patch.revision =
        static_cast<uint64_t>(IntegerIn(entry, 1, 0, kMaxRevision));
    patch.bytes = BytesIn(entry, 2);
    patches.push_back(std::move(patch));
  }
  return patches;
}

StoreItem DecodeFeedItem(const Json& entry, uint64_t era) {
  StoreItem item;
  item.key = TextIn(entry, 0);
  item.revision = {era,
                   static_cast<uint64_t>(IntegerIn(entry, 1, 0, kMaxRevision))};
  item.deleted = FlagIn(entry, 2);
  item.value = BytesIn(entry, 3);
  if (entry.size() > kPatchesIndex)
    item.patches = DecodePatches(entry.at(kPatchesIndex));
  if (item.patches.empty() || item.patches.front().base > 0)
    return item;
  auto value = DecodePatch("", item.patches.front().bytes);
  if (!value)
    throw PeerMessageError("a compressed value is invalid");
  item.value = std::move(*value);
  item.patches.clear();
  return item;
}

Json EncodeNotices(const std::vector<CarriedNotice>& notices, bool packed) {
  Json entries = Json::array();
  for (const CarriedNotice& notice : notices)
    entries.push_back({EncodeFeedItem(notice.item, packed),
                       notice.item.revision.era, ToMicroseconds(notice.left)});
  return entries;
}

std::vector<CarriedNotice> DecodeNotices(const Json& entries) {
  std::vector<CarriedNotice> notices;
  for (const Json& entry : entries) {
    const auto era =
        static_cast<uint64_t>(IntegerIn(entry, 1, 0, kMaxRevision));
    const std::chrono::microseconds left(
        IntegerIn(entry, 2, 0, ToMicroseconds(kMaxCarriedTime)));
    notices.push_back({DecodeFeedItem(entry.at(0), era), left});
  }
  return notices;
}

// The update that `items` belong to is bounded by the length of a message, but
// compressed values can be much longer.
void CheckUnpackedBytes(const StoreItem& item, size_t& unpacked_bytes) {
  unpacked_bytes += item.value.size();
  if (unpacked_bytes > kMaxUnpackedBytes)
    throw PeerMessageError("the values of an update are too long");
}

}  // namespace

Json EncodeFeedRequest(const FeedRequest& request) {
  Json json{{"t", "feed_request"},
            {"after", request.after.number},
            {"encoding", NameOf(kFeedEncodings, request.encoding)}};
  AddEra(json, "after_era", request.after);
  if (request.wants_carried)
    json["carried"] = true;
  return json;
}

FeedRequest DecodeFeedRequest(const Json& json) {
  FeedRequest request;
  request.after = StoreRevisionAt(json, "after", "after_era");
  request.wants_carried = json.contains("carried") && FlagAt(json, "carried");
  // Absent in messages of earlier versions.
  if (json.contains("encoding"))
    request.encoding = static_cast<FeedEncoding>(
        EnumIndexAt(json, "encoding", kFeedEncodings));
  return request;
}

Json EncodeFeedUpdate(const FeedUpdate& update) {
  const StoreChanges& changes = update.changes;
  Json items = Json::array();
  for (const StoreItem& item : changes.items)
    items.push_back(EncodeFeedItem(item, update.packed));
  Json json{{"t", "feed_update"},
            {"after", changes.after.number},
            {"up_to", changes.up_to.number},
            {"newest", changes.newest.number},
            {"whole", changes.whole},
            {"items", std::move(items)}};
  AddEra(json, "after_era", changes.after);
  AddEra(json, "era", changes.up_to);
  if (changes.compared) {
    json["compared_after"] = changes.compared->after.number;
    json["compared_up_to"] = changes.compared->up_to.number;
    AddEra(json, "compared_after_era", changes.compared->after);
    AddEra(json, "compared_up_to_era", changes.compared->up_to);
  }
  if (update.carried)
    json["carried"] = EncodeNotices(*update.carried, update.packed);
  return json;
}

FeedUpdate DecodeFeedUpdate(const Json& json) {
  FeedUpdate update;
  StoreChanges& changes = update.changes;
  changes.after = StoreRevisionAt(json, "after", "after_era");
  changes.up_to = StoreRevisionAt(json, "up_to", "era");
  // Absent in messages of earlier versions.
  changes.newest = json.contains("newest")
                       ? StoreRevisionAt(json, "newest", "era")
                       : changes.up_to;
  changes.whole = FlagAt(json, "whole");
  if (json.contains("compared_after")) {
    changes.compared = RevisionSpan{
        StoreRevisionAt(json, "compared_after", "compared_after_era"),
        StoreRevisionAt(json, "compared_up_to", "compared_up_to_era")};
  }
  size_t unpacked_bytes = 0;
  for (const Json& entry : ArrayAt(json, "items", kMaxFeedItems)) {
    changes.items.push_back(DecodeFeedItem(entry, changes.up_to.era));
    CheckUnpackedBytes(changes.items.back(), unpacked_bytes);
  }
  if (json.contains("carried")) {
    update.carried = DecodeNotices(ArrayAt(json, "carried", kMaxFeedItems));
    for (const CarriedNotice& notice : *update.carried)
      CheckUnpackedBytes(notice.item, unpacked_bytes);
  }
  return update;
}

}  // namespace mangodoor
