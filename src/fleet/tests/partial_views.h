#ifndef FLEET_TESTS_PARTIAL_VIEWS_H_
#define FLEET_TESTS_PARTIAL_VIEWS_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

// Simulation of partial views with peer sampling by shuffling, an alternative to full
// membership, for the comparison in docs/decisions/membership.md only. In each round a
// router exchanges part of its view with the neighbour whose entry is oldest.
namespace geraniumspread::fleet::testing {

struct ViewSettings {
  std::size_t routers = 410;
  std::size_t domains = 8;
  std::size_t view = 20;
  std::size_t shuffle = 10;
  std::uint64_t seed = 1;
};

struct ViewEntry {
  std::size_t router = 0;
  std::uint64_t incarnation = 1;
  std::uint64_t age = 0;
};

struct PartialViews {
  explicit PartialViews(const ViewSettings& view_settings);

  void Round();
  // Mean fraction of its domain peers that a router has in its view.
  double DomainKnown() const;
  // Number of routers whose view has an entry of the other half of the fleet (the halves
  // are the even and the odd ids).
  std::size_t WithOtherHalf() const;
  // Number of domain peers of `router` that know its current incarnation.
  std::size_t KnowIncarnation(std::size_t router) const;

  ViewSettings settings;
  std::mt19937_64 random;
  std::vector<std::vector<ViewEntry>> views;
  std::vector<std::uint64_t> incarnations;
  bool halves_cut = false;
  std::uint64_t entries_sent = 0;
  std::uint64_t messages_sent = 0;

 private:
  void Shuffle(std::size_t router);
  std::vector<ViewEntry> Sample(std::size_t router);
  void Merge(std::size_t router, const std::vector<ViewEntry>& received);
};

}  // namespace geraniumspread::fleet::testing

#endif  // FLEET_TESTS_PARTIAL_VIEWS_H_
