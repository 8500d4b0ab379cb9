package burlspool.wire;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code drill} speaks the simulator's wire on standard input and output. */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar burlspool.jar drill");
            System.exit(2);
        }
        try (var in = new FileInputStream(FileDescriptor.in); var out = new FileOutputStream(FileDescriptor.out)) {
            new Drill(in, out).run();
        } catch (MalformedLine malformed) {
            System.err.println("burlspool: " + malformed.getMessage());
            System.exit(1);
        } catch (IOException broken) {
            System.err.println("burlspool: the pipe broke: " + broken.getMessage());
            System.exit(1);
        }
    }
}
