package reedquay.lab.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/** The preloaded library faults.c: builds it, and tells the processes that have loaded it which faults to inject. */
public final class FaultLibrary {
    /** A system call that can be made to fail, with the offset of its errno in the shared file. */
    enum Call {
        SOCKET(8), ACCEPT(12), CONNECT(16);

        private final int offset;

        Call(int offset) {
            this.offset = offset;
        }
    }

    private static final int WALL_CLOCK_OFFSET = 0;
    private static final int ONE_IN_OFFSET = 20;
    private static final int HOLD_UP_OFFSET = 24;
    private static final int HOLD_UP_ONE_IN_OFFSET = 28;
    private static final int SHARED_BYTES = 32;

    private final Path library;
    private final Path sharedFile;
    private final MappedByteBuffer shared;

    private FaultLibrary(Path library, Path sharedFile, MappedByteBuffer shared) {
        this.library = library;
        this.sharedFile = sharedFile;
        this.shared = shared;
    }

    /** Compiles the source with the system's C compiler. Throws IOException where there is none or it fails. */
    public static Path compile(Path source) throws IOException, InterruptedException {
        Path library = Files.createTempFile("faults", ".so");
        library.toFile().deleteOnExit();
        int status = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(),
                "-ldl").inheritIO().start().waitFor();
        if (status != 0) {
            throw new IOException("the C compiler cannot build " + source);
        }
        return library;
    }

    /** Creates the shared file of one run. */
    public static FaultLibrary create(Path library, Path directory) throws IOException {
        Path file = directory.resolve("faults");
        Files.write(file, new byte[SHARED_BYTES]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, SHARED_BYTES);
            shared.order(ByteOrder.nativeOrder());
            return new FaultLibrary(library, file, shared);
        }
    }

    /** The variables with which a process loads the library. */
    public Map<String, String> variables() {
        return Map.of("LD_PRELOAD", library.toString(), "SOAK_FAULTS", sharedFile.toString());
    }

    /** Shifts the wall clock against its true time; the monotonic clock runs on. */
    void shiftWallClock(long nanos) {
        shared.putLong(WALL_CLOCK_OFFSET, nanos);
    }

    /**
     * Holds up each thread that polls sockets for the given time, after one in so many of its readings of the clock;
     * 0 for never. It runs for 100 ms at least between two hold-ups.
     */
    public void holdUp(int micros, int oneIn) {
        shared.putInt(HOLD_UP_ONE_IN_OFFSET, oneIn);
        shared.putInt(HOLD_UP_OFFSET, micros);
    }

    /** Lets one in the given number of calls fail with the errno, 0 for none. */
    void fail(Call call, int errno, int oneIn) {
        shared.putInt(ONE_IN_OFFSET, oneIn);
        shared.putInt(call.offset, errno);
    }
}
