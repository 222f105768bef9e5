#!/bin/sh
# Starts one proxy. The JVM's memory limits are derived from limits.memory_mb of the configuration, because the program
# reads the configuration only after the JVM has fixed them. AlwaysPreTouch makes the whole heap resident at the start, so
# that the process does not grow later when the heap fills, mostly with garbage.
# The configuration is read with shell builtins only: where a proxy may not start other programs, a command substitution
# or a pipe fails, and the start with it.
memory=
if [ -r "${NODE_CONFIG:-}" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        case $line in *'"memory_mb"'*)
            line=${line#*'"memory_mb"'}
            line=${line#*:}
            line=${line#"${line%%[! ]*}"}
            memory=${line%%[!0-9]*}
            break ;;
        esac
    done <"$NODE_CONFIG"
fi
# Reported at once, because a wrong limit shows only hours later, when the process is killed for exceeding its memory.
case $memory in
'' | 0* | ???????*)
    echo "run.sh: no usable limits.memory_mb in NODE_CONFIG '${NODE_CONFIG:-}': taking 128" >&2
    memory=128 ;;
esac
heap=$(((memory - 60) / 2))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 64 ] || heap=64
direct=$((memory / 10))
[ "$direct" -ge 8 ] || direct=8
export MALLOC_ARENA_MAX=1
# Clients are not served while a proxy restarts, so these options shorten the start: the class archive is mapped at its
# intended address, because relocating it means patching every pointer in it; the native epoll library is already unpacked
# in target/native; and the logger delegate is named, so that Vert.x does not search for other logging libraries.
exec java -Xms${heap}m -Xmx${heap}m -Xmn$((heap * 2 / 5))m -XX:MaxDirectMemorySize=${direct}m -XX:+AlwaysPreTouch \
    -XX:+ExitOnOutOfMemoryError -XX:+UseSerialGC -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0 \
    -XX:SharedArchiveFile=target/pathgw.jsa -Xlog:cds=off,cds+dynamic=off -XX:-UsePerfData \
    -XX:ActiveProcessorCount=1 -XX:TieredStopAtLevel=1 -XX:ThreadPriorityPolicy=1 -XX:CompilerThreadPriority=10 \
    -Xss512k -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m \
    -Djava.library.path=target/native -Dvertx.logger-delegate-factory-class-name=io.vertx.core.logging.JULLogDelegateFactory \
    -Djava.util.logging.manager=pathgw.observability.ShutdownSafeLogManager -Djava.util.logging.config.file=deploy/logging.properties \
    -Dvertx.disableDnsResolver=true -Dio.netty.native.workdir="${TMPDIR:-/tmp}" -Dio.netty.jfr.enabled=false -Dio.netty.allocator.numDirectArenas=1 \
    -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.maxOrder=3 -jar target/pathgw.jar serve
