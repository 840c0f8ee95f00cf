#!/bin/sh
# Builds the cases and all stand-ins that they start into target/review/. Needs only the packages of
# the deploy file, and the build of the deploy file for the gateway itself.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
flags="-std=c++20 -O1 -g1 -w -I. -Isource
  -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1"
flags="$flags $(pkg-config --cflags jsoncpp fmt)"
libraries="$(pkg-config --libs jsoncpp fmt) -lpthread"
objects=""
for source in source/base/error.cpp source/http/*.cpp standins/users_platform/store_standin.cpp \
  review/harness/stage.cpp; do
  object="target/review/$(basename "$source" .cpp).o"
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
for source in review/*/case.cpp; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  # shellcheck disable=SC2086
  g++ $flags "$source" $objects -o "target/review/case-$number" $libraries
done
