#include "fleet/tests/partial_views.h"

#include <algorithm>

#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet::testing {

PartialViews::PartialViews(const ViewSettings& view_settings)
    : settings(view_settings),
      random(view_settings.seed),
      views(view_settings.routers),
      incarnations(view_settings.routers, 1) {
  for (std::size_t router = 0; router < this->settings.routers; ++router) {
    std::vector<ViewEntry> entries;
    while (entries.size() < this->settings.view) {
      entries.push_back({static_cast<std::size_t>(this->random() % this->settings.routers), 1, 0});
    }
    this->Merge(router, entries);
  }
}

void PartialViews::Round() {
  for (std::size_t router = 0; router < this->views.size(); ++router) {
    this->Shuffle(router);
  }
}

void PartialViews::Shuffle(std::size_t router) {
  auto& view = this->views[router];
  for (ViewEntry& entry : view) {
    ++entry.age;
  }
  const auto oldest = std::ranges::max_element(view, {}, &ViewEntry::age);
  if (oldest == view.end()) {
    return;
  }
  const std::size_t peer = oldest->router;
  view.erase(oldest);
  ++this->messages_sent;
  if (this->halves_cut && peer % 2 != router % 2) {
    return;  // no response: the entry stays removed
  }
  const auto sent = this->Sample(router);
  const auto answer = this->Sample(peer);
  ++this->messages_sent;
  this->entries_sent += sent.size() + answer.size();
  this->Merge(peer, sent);
  this->Merge(router, answer);
}

std::vector<ViewEntry> PartialViews::Sample(std::size_t router) {
  std::vector<ViewEntry> entries = this->views[router];
  detail::KeepRandom(entries, this->settings.shuffle - 1, this->random);
  entries.push_back({router, this->incarnations[router], 0});
  return entries;
}

void PartialViews::Merge(std::size_t router, const std::vector<ViewEntry>& received) {
  auto& view = this->views[router];
  for (const ViewEntry& entry : received) {
    const auto known = std::ranges::find(view, entry.router, &ViewEntry::router);
    if (entry.router == router) {
      continue;
    }
    if (known == view.end()) {
      view.push_back(entry);
    } else if (entry.age < known->age) {
      *known = entry;
    }
  }
  while (view.size() > this->settings.view) {
    view.erase(std::ranges::max_element(view, {}, &ViewEntry::age));
  }
}

double PartialViews::DomainKnown() const {
  double known = 0;
  for (std::size_t router = 0; router < this->views.size(); ++router) {
    known +=
        static_cast<double>(std::ranges::count_if(this->views[router], [&](const ViewEntry& entry) {
          return entry.router % this->settings.domains == router % this->settings.domains;
        }));
  }
  const double pairs =
      static_cast<double>(this->settings.routers) *
      (static_cast<double>(this->settings.routers) / static_cast<double>(this->settings.domains) -
       1);
  return known / pairs;
}

std::size_t PartialViews::WithOtherHalf() const {
  std::size_t count = 0;
  for (std::size_t router = 0; router < this->views.size(); ++router) {
    count +=
        std::ranges::any_of(this->views[router],
                            [&](const ViewEntry& entry) { return entry.router % 2 != router % 2; })
            ? 1
            : 0;
  }
  return count;
}

std::size_t PartialViews::KnowIncarnation(std::size_t router) const {
  std::size_t count = 0;
  for (std::size_t peer = router % this->settings.domains; peer < this->views.size();
       peer += this->settings.domains) {
    count += std::ranges::any_of(this->views[peer],
                                 [&](const ViewEntry& entry) {
                                   return entry.router == router &&
                                          entry.incarnation == this->incarnations[router];
                                 })
                 ? 1
                 : 0;
  }
  return count;
}

}  // namespace geraniumspread::fleet::testing
