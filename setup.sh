#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests, the linter and the demo need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
Sudo=""
[ "$(id -u)" -eq 0 ] || Sudo="sudo"
$Sudo apt-get update -q
$Sudo apt-get install -q -y --no-install-recommends \
  g++ cmake make pkg-config git python3 curl \
  clang-format clang-tidy \
  libcapnp-dev capnproto prometheus-cpp-dev libcpp-httplib-dev libgflags-dev \
  liblog4cplus-dev libcriterion-dev librapidcheck-dev nlohmann-json3-dev \
  libvalijson-dev libxxhash-dev libssl-dev libpcg-cpp-dev libbenchmark-dev \
  zlib1g-dev libbrotli-dev gnuplot-nox
