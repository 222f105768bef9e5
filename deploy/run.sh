#!/bin/sh
# One proxy on sockets. The JVM's caps come from the memory that the configuration allows, since the program itself
# reads it too late. The whole heap is touched at the start: what fills it later, garbage mostly, is then no growth.
# Read by the shell itself: where proxies may start no other program, a substitution or a pipe fails, and with it the start.
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
# A wrong cap shows only hours later, when the process is killed for its memory: so it is said at once.
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
# While a proxy starts again its clients go unserved. The archive is mapped where it was made for, since moving it means
# to mend every address in it; the library that speaks epoll lies there unpacked; nobody looks for loggers we lack.
exec java -Xms${heap}m -Xmx${heap}m -Xmn$((heap * 2 / 5))m -XX:MaxDirectMemorySize=${direct}m -XX:+AlwaysPreTouch \
    -XX:+UseSerialGC -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0 \
    -XX:SharedArchiveFile=target/pathgw.jsa -Xlog:cds=off,cds+dynamic=off -XX:-UsePerfData \
    -XX:ActiveProcessorCount=1 -XX:TieredStopAtLevel=1 -XX:ThreadPriorityPolicy=1 -XX:CompilerThreadPriority=10 \
    -Xss512k -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m \
    -Djava.library.path=target/native -Dvertx.logger-delegate-factory-class-name=io.vertx.core.logging.JULLogDelegateFactory \
    -Djava.util.logging.manager=pathgw.observability.ShutdownSafeLogManager -Djava.util.logging.config.file=deploy/logging.properties \
    -Dvertx.disableDnsResolver=true -Dio.netty.native.workdir="${TMPDIR:-/tmp}" -Dio.netty.jfr.enabled=false -Dio.netty.allocator.numDirectArenas=1 \
    -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.maxOrder=3 -jar target/pathgw.jar serve
