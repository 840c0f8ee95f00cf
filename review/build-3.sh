#!/usr/bin/env bash
# Builds the stand-ins of this review (review/11 and up) into target/review-3/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Isource -I.
  -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1 $(pkg-config --cflags jsoncpp libxxhash))
libraries=(target/source/http/libospreystair_http.a target/source/base/libospreystair_base.a
  $(pkg-config --libs jsoncpp libxxhash) -lfmt -lpthread)
g++ "${flags[@]}" -c standins/users_platform/store_standin.cpp -o "$out/store_standin.o" &
store=$!
g++ "${flags[@]}" -c review/stand-ins-3/deployment.cpp -o "$out/deployment.o" &
deployment=$!
wait "$store"
wait "$deployment"
for source in review/1[1-5]/trial.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/deployment.o" "$out/store_standin.o" "${libraries[@]}" -o "$out/$name"
done
