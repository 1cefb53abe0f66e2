#pragma once

#include "base/StrongId.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuploom::scheduler {

// Number of an image within one scheduler, from 0.
using ImageNumber = StrongNumber<struct ImageTag, std::uint32_t>;

// Figures of one serving task at one look.
struct InterferenceSample {
    ImageNumber serving;
    // Tail latency as a share of its limit.
    double pressure = 0;
    // Processors that tasks without an image use, as a share of the worker's.
    double otherUse = 0;
    // The same by image of the filling tasks; one entry for an image.
    std::vector<std::pair<ImageNumber, double>> fillingUse;
};

// Learns by how much each filling image raises the pressure of each serving image: a linear model for each serving image, fitted by
// least squares over the last half minute or so. Pairs differ widely, and most of them do not disturb each other.
class InterferenceModel {
public:
    ImageNumber numberOf(const std::string& image);

    void add(const InterferenceSample&);
    // Fits the models to the samples. To be called every second; older samples lose weight with each call.
    void refit();

    // Rise of the pressure when the filling image uses all processors of a worker.
    double effect(ImageNumber serving, ImageNumber filling) const;
    bool isKnown(ImageNumber serving, ImageNumber filling) const;

private:
    struct Model {
        // Normal equations: rows and columns for the constant, other use, and each image.
        std::vector<std::vector<double>> products;
        std::vector<double> sums;
        std::vector<double> coefficients;
    };

    void resize(Model&, std::size_t size) const;

    std::map<std::string, ImageNumber> m_numbers;
    std::map<ImageNumber, Model> m_models;
};

} // namespace kingcuploom::scheduler
