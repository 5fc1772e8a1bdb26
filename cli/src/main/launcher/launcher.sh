#!/bin/sh
# Starts arbutusroad from the jar that is appended to this script.
# A node runs with one event loop, which owns the state of its data path.
case "$1" in
  node)
    options="-Dio.netty.eventLoopThreads=1 -XX:+UseSerialGC -Xms24m -Xmx64m -XX:MaxDirectMemorySize=48m
      -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m -Xss512k
      -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1"
    ;;
  *)
    options="-XX:+UseSerialGC -Xmx512m"
    ;;
esac
# shellcheck disable=SC2086
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" $options $ARBUTUSROAD_JAVA_OPTIONS -jar "$0" "$@"
